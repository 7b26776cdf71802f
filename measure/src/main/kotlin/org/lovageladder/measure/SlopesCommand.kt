package org.lovageladder.measure

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.encodeToString
import kotlin.time.Duration.Companion.seconds

private val COMPANION_COUNTS = listOf(100, 400, 1600, 4800)
private val ENTRY_COUNTS = listOf(10, 100, 370)
private const val WARM_UP_COMPANIONS = 400
private const val WARM_UP_ROUNDS = 3
private val WARM_UP_DURATION = 120.seconds

/** Measures the cost of the decisions, by the number of peers and per request. */
internal class SlopesCommand : CliktCommand("slopes") {
    private val companions by option("--companions", help = "Numbers of companions (default 100,400,1600,4800).")
        .int().restrictTo(1..10_000).split(",").default(COMPANION_COUNTS)
    private val entries by option("--entries", help = "Numbers of entries (default 10,100,370).")
        .int().restrictTo(1..1000).split(",").default(ENTRY_COUNTS)
    private val virtualSeconds by option("--seconds", help = "Virtual seconds at each size (default 120).")
        .int().restrictTo(1..3600).default(120)
    private val printJson by option("--json", help = "Print JSON after the tables.").flag()

    override fun help(context: Context): String =
        "Measure CPU time, messages, bytes and heap of an entry and a companion, without sockets."

    override fun run() {
        if (companions.distinct().size < 2) {
            throw UsageError("--companions is $companions; allowed: two or more sizes")
        }
        if (entries.distinct().size < 2) throw UsageError("--entries is $entries; allowed: two or more sizes")
        warmUp()
        val report = SlopeReport(
            entry = fitIdleSlopes(companions.map { measureIdleEntry(it, virtualSeconds.seconds) }),
            companion = fitIdleSlopes(entries.map { measureIdleCompanion(it, virtualSeconds.seconds) }),
            requests = companions.flatMap { size -> RequestKind.entries.map { measureRequests(it, size) } },
        )
        echo(report.toText())
        if (printJson) echo(reportJson.encodeToString(report))
    }

    /** Runs each measurement until the JIT compiler has compiled its code. */
    private fun warmUp() = repeat(WARM_UP_ROUNDS) {
        measureIdleEntry(WARM_UP_COMPANIONS, WARM_UP_DURATION)
        measureIdleCompanion(ENTRY_COUNTS.last(), WARM_UP_DURATION)
        RequestKind.entries.forEach { measureRequests(it, WARM_UP_COMPANIONS) }
    }
}
