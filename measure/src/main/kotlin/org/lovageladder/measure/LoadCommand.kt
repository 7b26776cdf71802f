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

/** Drives one load and prints what callers saw. */
internal class LoadCommand : CliktCommand("load") {
    private val entries by option("--entry", metavar = "IP:PORT", help = "Callers' address of an entry; repeatable.")
        .convert { address(it) }.multiple()
    private val direct by option("--direct", metavar = "IP:PORT", help = "Stand-in to call directly; repeatable.")
        .convert { address(it) }.multiple()
    private val options by WorkloadOptions()
    private val json by option("--json", help = "Print JSON.").flag()

    override fun help(context: Context): String =
        "Send requests at times drawn ahead from a seed and measure latency from those times."

    override fun run() {
        val destinations =
            entries.map { Destination(it, direct = false) } + direct.map { Destination(it, direct = true) }
        if (destinations.isEmpty()) throw UsageError("--entry is missing; allowed: IP:PORT, or --direct IP:PORT")
        val summary = LoadDriver(options.workload(), destinations).run()
        echo(if (json) reportJson.encodeToString(summary) else summary.text())
    }
}
