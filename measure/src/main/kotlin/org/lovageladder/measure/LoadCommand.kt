package org.lovageladder.measure

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.encodeToString

/** Runs one workload and prints the results that callers received. */
internal class LoadCommand : CliktCommand("load") {
    private val entries by option("--entry", metavar = "IP:PORT", help = "Caller address of an entry; repeatable.")
        .convert { parseAddress(it) }.multiple()
    private val standIns by option("--direct", metavar = "IP:PORT", help = "Stand-in to call directly; repeatable.")
        .convert { parseAddress(it) }.multiple()
    private val options by WorkloadOptions()
    private val printJson by option("--json", help = "Print JSON.").flag()

    override fun help(context: Context): String =
        "Send requests at times computed from a seed and measure latency from those times."

    override fun run() {
        val destinations =
            entries.map { Destination(it, isDirect = false) } + standIns.map { Destination(it, isDirect = true) }
        if (destinations.isEmpty()) throw UsageError("--entry is missing; allowed: IP:PORT, or --direct IP:PORT")
        val summary = LoadDriver(options.workload(), destinations).run()
        echo(if (printJson) reportJson.encodeToString(summary) else summary.toText())
    }
}
