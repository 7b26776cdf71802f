package org.lovageladder.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import sun.misc.Signal
import kotlin.system.exitProcess

private const val USAGE_ERROR_STATUS = 2

/** The command line of the daemon, with one subcommand per role. */
internal class DaemonCommand : CliktCommand("lovageladder-daemon") {
    override fun help(context: Context): String = "Runs one process of the router for prefill and decode pools."

    override fun run(): Unit = Unit
}

/** Runs the role that [arguments] select until it is stopped. An invalid flag or value exits with status 2. */
public fun main(arguments: Array<String>) {
    ignoreHangups()
    val command = DaemonCommand().subcommands(EntryCommand(), CompanionCommand(), ForwardCommand())
    try {
        command.parse(arguments)
    } catch (usageError: UsageError) {
        command.echoFormattedHelp(usageError)
        exitProcess(USAGE_ERROR_STATUS)
    } catch (error: CliktError) {
        command.echoFormattedHelp(error)
        exitProcess(error.statusCode)
    }
}

/**
 * Ignores SIGHUP, which ends a Java process that has no handler. A process that reloads its settings installs its own
 * handler once it has read them; a hangup until then asks for nothing else.
 */
internal fun ignoreHangups() {
    Signal.handle(Signal("HUP")) {}
}
