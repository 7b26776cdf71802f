package org.lovageladder.standin

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import kotlin.system.exitProcess

private const val USAGE_STATUS = 2

/** Runs the stand-in named by the subcommand until a stop signal. Wrong flags end it with status 2. */
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
    } catch (wrongUse: UsageError) {
        command.echoFormattedHelp(wrongUse)
        exitProcess(USAGE_STATUS)
    } catch (ended: CliktError) {
        command.echoFormattedHelp(ended)
        exitProcess(ended.statusCode)
    }
}
