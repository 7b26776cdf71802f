package org.lovageladder.client

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import kotlin.system.exitProcess

/** Runs one command and exits with its exit code. */
public fun main(arguments: Array<String>) {
    exitProcess(runClient(arguments.toList()).status)
}

/** Runs one command and returns its exit code. */
internal fun runClient(arguments: List<String>): ExitCode {
    val command = LovageladderCommand()
    return try {
        command.parse(arguments)
        ExitCode.DONE
    } catch (failure: CliktError) {
        command.echoFormattedHelp(failure)
        exitCodeOf(failure)
    }
}

private fun exitCodeOf(failure: CliktError): ExitCode = when {
    failure is UsageError -> ExitCode.BAD_INPUT
    failure is PrintHelpMessage && failure.error -> ExitCode.BAD_INPUT
    else -> ExitCode.entries.find { it.status == failure.statusCode } ?: ExitCode.FAILED
}

internal class LovageladderCommand : NoOpCliktCommand("lovageladder") {
    init {
        subcommands(
            NoteCommand(),
            StatusCommand(),
            UpstreamsCommand(),
            TimelineCommand(),
            DrainCommand(),
            ExplainCommand(),
            CompletionCommand(name = "completion"),
        )
    }

    override fun help(context: Context): String =
        "Operate lovageladder: publish release notes and inspect the running processes."

    override fun helpEpilog(context: Context): String =
        "Exit codes: 0 done, 1 failed, 2 bad input, 3 another note was accepted first, 4 outcome unknown, " +
            "5 key-value service or process unreachable."
}
