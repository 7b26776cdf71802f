package org.lovageladder.measure

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo

/** Prints from collected logs how much decode memory streams reserved and used, and how long they waited for it. */
internal class StreamsCommand : CliktCommand("streams") {
    private val logs by argument("LOG", help = "JSON log of one or more entries.")
        .file(mustExist = true, canBeDir = false).multiple(required = true)
    private val stepSeconds by option(
        "--step",
        help = "Seconds per table row (default 2).",
    ).int().restrictTo(1..3_600).default(2)
    private val plotFile by option(
        "--plot",
        metavar = "FILE",
        help = "File for an SVG plot of reserved and used memory.",
    ).file()

    override fun help(context: Context): String =
        "Print how much decode memory streams reserved and used and how long they waited, from collected logs."

    override fun run() {
        val streams = logs.flatMap { file -> file.useLines { parseEndedStreams(it) } }
        if (streams.isEmpty()) throw UsageError("no log contains an ended stream (event LL-3104 with reserved=)")
        val intervals = intervalsOf(streams, stepSeconds * MILLISECONDS_PER_SECOND)
        echo(routeTable(routeSizes(streams)))
        echo()
        echo(intervalTable(intervals))
        plotFile?.writeText(plotSvg(intervals))
    }

    private fun routeTable(sizes: List<RouteSizes>) = formatTable(
        listOf("route", "answered", "reserved", "used", "outgrew"),
        sizes.map {
            listOf(
                it.route,
                "${it.answered}",
                formatDecimal(it.reservedTokens, 0),
                formatDecimal(it.usedTokens, 0),
                "${it.exceededReservation}",
            )
        },
    )

    private fun intervalTable(intervals: List<StreamInterval>) = formatTable(
        listOf("second", "arrived", "answered", "refused", "later", "broken", "wait ms", "reserved", "used", "waiting"),
        intervals.map {
            listOf(
                "${it.startMilliseconds / MILLISECONDS_PER_SECOND}",
                "${it.arrived}",
                "${it.answered}",
                "${it.refusedImmediately}",
                "${it.refusedLater}",
                "${it.failed}",
                formatDecimal(it.meanWaitMilliseconds, 0),
                "${it.reservedTokens}",
                "${it.usedTokens}",
                "${it.waiting}",
            )
        },
    )

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
