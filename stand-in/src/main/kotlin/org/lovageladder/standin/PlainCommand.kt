package org.lovageladder.standin

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlin.time.Duration.Companion.milliseconds

/** The `plain` subcommand, which runs a [PlainStandIn]. */
internal class PlainCommand : ServerCommand("plain", "A plain service that counts executions per Idempotency-Key.") {
    private val defaults = PlainSettings()
    private val serviceName by option("--name", help = "Name in answers.").default(defaults.name)
    private val latency by
        millisecondsOption("--latency-ms", "Execution time of a call.", defaults.latency.inWholeMilliseconds)
    private val maximumRunning by
        positiveIntOption("--max-running", "Maximum concurrent calls.", defaults.maximumRunning)
    private val ignoreFencing by option("--ignore-fencing", help = "Accept outdated fencing numbers.").flag()

    override fun start(port: Int): RunningStandIn {
        val settings = PlainSettings(serviceName, latency.milliseconds, maximumRunning, ignoreFencing)
        val plain = PlainStandIn.start(port, settings) { haltProcess() }
        return RunningStandIn(plain, plain.port)
    }
}
