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

/** Tells from collected logs what streams asked of decode memory, used and waited for. */
internal class StreamsCommand : CliktCommand("streams") {
    private val logs by argument("LOG", help = "JSON log of one or more entries.")
        .file(mustExist = true, canBeDir = false).multiple(required = true)
    private val step by option("--step", help = "Seconds of one row (default 2).").int().restrictTo(1..3_600).default(2)
    private val plot by option("--plot", metavar = "FILE", help = "Draws reserved and used memory as SVG.").file()

    override fun help(context: Context): String =
        "Print what streams asked of decode memory, used and waited for, from collected logs."

    override fun run() {
        val streams = logs.flatMap { file -> file.useLines { endedStreams(it) } }
        if (streams.isEmpty()) throw UsageError("no log has the end of a stream (LL-3104 with its reservation)")
        val spans = spans(streams, step * MILLISECONDS)
        echo(sizeTable(sizes(streams)))
        echo()
        echo(spanTable(spans))
        plot?.writeText(plot(spans))
    }

    private fun sizeTable(sizes: List<RouteSizes>) = table(
        listOf("route", "answered", "reserved", "used", "outgrew"),
        sizes.map {
            listOf(
                it.route,
                "${it.answered}",
                decimal(it.reservedTokens, 0),
                decimal(it.usedTokens, 0),
                "${it.outgrown}",
            )
        },
    )

    private fun spanTable(spans: List<StreamSpan>) = table(
        listOf("second", "arrived", "answered", "refused", "later", "broken", "wait ms", "reserved", "used", "waiting"),
        spans.map {
            listOf(
                "${it.from / MILLISECONDS}",
                "${it.arrived}",
                "${it.answered}",
                "${it.refusedAtOnce}",
                "${it.refusedLater}",
                "${it.broken}",
                decimal(it.meanWait, 0),
                "${it.reservedTokens}",
                "${it.usedTokens}",
                "${it.waiting}",
            )
        },
    )

    private companion object {
        const val MILLISECONDS = 1_000L
    }
}
