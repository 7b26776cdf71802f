package org.lovageladder.client

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.PrintMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.lovageladder.core.KeyValueStore
import org.lovageladder.http.openEtcdStore

/** Base class of the commands. Results go to standard output, failures to standard error. */
internal abstract class ClientCommand(name: String, private val helpText: String) : CliktCommand(name) {
    private val outputOptions by OutputOptions()

    /** Runs the command and prints its result. */
    protected abstract fun execute(): Result<Unit, ClientFailure>

    final override fun help(context: Context): String = helpText

    final override fun run() {
        execute().onFailure { throw PrintMessage(it.message, it.exitCode.status, printError = true) }
    }

    /** Prints [value] as JSON when `--json` is given, else as the result of [text]. */
    protected fun <T> print(value: T, serializer: KSerializer<T>, text: (T) -> String) {
        echo(if (outputOptions.json) outputJson.encodeToString(serializer, value) else text(value))
    }

    /** Calls [action] with the notes in the key-value service, and closes the connection afterwards. */
    protected fun <T> withNoteStore(options: StoreOptions, action: (NoteStore) -> T): T {
        val addresses = options.addresses
            ?: throw UsageError("--store is missing; allowed: IP:PORT,... (or LOVAGELADDER_STORE)")
        return openEtcdStore(addresses).use { store: KeyValueStore -> action(NoteStore(store, options.timeout)) }
    }
}

private val outputJson = Json {
    prettyPrint = true
    prettyPrintIndent = "  "
    encodeDefaults = true
}
