package org.lovageladder.measure

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import kotlin.system.exitProcess

/** Runs the command line of the measuring tool. */
public fun main(arguments: Array<String>) {
    val command = MeasureCommand()
    val status = try {
        command.parse(arguments)
        0
    } catch (failure: CliktError) {
        command.echoFormattedHelp(failure)
        failure.statusCode
    }
    exitProcess(status)
}

private class MeasureCommand : NoOpCliktCommand("measure") {
    init {
        subcommands(LoadCommand(), CompareCommand(), SlopesCommand(), StreamsCommand())
    }

    override fun help(context: Context): String =
        "Measure running processes under load, and the cost of the decisions by the size of the system."
}
