package org.lovageladder.standin

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import kotlin.system.exitProcess

private const val USAGE_ERROR_STATUS = 2

/** Runs the stand-in named by the subcommand until SIGTERM. Invalid flags end the process with status 2. */
public fun main(arguments: Array<String>) {
    val command =
        StandInCommand().subcommands(
            EngineCommand(),
            PlainCommand(),
            KeyValueCommand(),
            HostListCommand(),
            WeightsCommand(),
        )
    try {
        command.parse(arguments)
    } catch (usageError: UsageError) {
        command.echoFormattedHelp(usageError)
        exitProcess(USAGE_ERROR_STATUS)
    } catch (commandError: CliktError) {
        command.echoFormattedHelp(commandError)
        exitProcess(commandError.statusCode)
    }
}
