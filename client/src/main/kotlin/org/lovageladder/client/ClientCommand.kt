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

/** A command of the operators. Answers go to standard output, failures to standard error. */
internal abstract class ClientCommand(name: String, private val summary: String) : CliktCommand(name) {
    private val outputOptions by OutputOptions()

    /** Does the command's work and prints its answer. */
    protected abstract fun execute(): Result<Unit, ClientFailure>

    final override fun help(context: Context): String = summary

    final override fun run() {
        execute().onFailure { throw PrintMessage(it.message, it.exitCode.status, printError = true) }
    }

    /** Prints [value] as JSON when that is asked for, else as [text]. */
    protected fun <T> print(value: T, serializer: KSerializer<T>, text: (T) -> String) {
        echo(if (outputOptions.json) printedJson.encodeToString(serializer, value) else text(value))
    }

    /** Calls [use] with the key-value service and closes it. */
    protected fun <T> withNotes(options: StoreOptions, use: (NoteStore) -> T): T {
        val addresses = options.addresses
            ?: throw UsageError("--store is missing; allowed: IP:PORT,... (or LOVAGELADDER_STORE)")
        return openEtcdStore(addresses).use { store: KeyValueStore -> use(NoteStore(store, options.timeout)) }
    }
}

private val printedJson = Json {
    prettyPrint = true
    prettyPrintIndent = "  "
    encodeDefaults = true
}
