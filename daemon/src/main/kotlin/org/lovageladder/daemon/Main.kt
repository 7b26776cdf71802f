package org.lovageladder.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import kotlin.system.exitProcess

private const val USAGE_STATUS = 2

/** The daemon: its subcommand is the role. */
internal class DaemonCommand : CliktCommand("lovageladder-daemon") {
    override fun help(context: Context): String = "Runs one process of the router for prefill and decode pools."

    override fun run(): Unit = Unit
}

/** Runs the role that [arguments] name until it is stopped. A wrong flag or value ends the process with status 2. */
public fun main(arguments: Array<String>) {
    val command = DaemonCommand().subcommands(EntryCommand(), CompanionCommand(), ForwardCommand())
    try {
        command.parse(arguments)
    } catch (wrongUse: UsageError) {
        command.echoFormattedHelp(wrongUse)
        exitProcess(USAGE_STATUS)
    } catch (ended: CliktError) {
        command.echoFormattedHelp(ended)
        exitProcess(ended.statusCode)
    }
}
