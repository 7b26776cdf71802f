package org.lovageladder.core.forward

import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Port to the registry by which entries tell each other of the limits that upstreams name. */
public fun interface RequestLimitReportPort {
    /**
     * Reports that [upstream] accepts [requestsPerSecond] from all entries together, or null when it has no limit.
     * [answer] gets whether the registry confirmed the report.
     */
    public fun report(upstream: UpstreamName, requestsPerSecond: Double?, answer: (Boolean) -> Unit)
}

/**
 * Reports limits and their ends to the other entries, most of which send too little to a limited upstream to notice the
 * end soon. The entries that rank first for an upstream report, each after a delay, so that usually one of them does.
 * Confined to one thread.
 */
internal class RequestLimitReporter(
    private val requestLimits: RequestLimits,
    private val entries: EntryCounter,
    private val scheduler: Scheduler,
    private val port: RequestLimitReportPort,
) {
    private val lastReports = HashMap<UpstreamName, Double?>()
    private val scheduled = HashSet<UpstreamName>()

    /** Reports the limit of upstream [name], which an answer to this process changed. */
    fun onLimitChanged(name: UpstreamName) {
        val rank = entries.rank(name.text, scheduler.now()) ?: return
        if (rank < REPORTING_ENTRIES) schedule(name, REPORT_DELAY * rank)
    }

    /** Records that the registry holds [requestsPerSecond] as the last report on upstream [name]. */
    fun recordReport(name: UpstreamName, requestsPerSecond: Double?) {
        lastReports[name] = requestsPerSecond
    }

    /** The registry may have lost what was reported to it, or hold an older report. */
    fun onRegistryRestored() {
        val reported = lastReports.keys.toList()
        lastReports.clear()
        reported.forEach(::onLimitChanged)
    }

    private fun schedule(name: UpstreamName, delay: Duration) {
        if (scheduled.add(name)) scheduler.schedule(delay) { reportIfNew(name) }
    }

    private fun reportIfNew(name: UpstreamName) {
        val limit = requestLimits.limitOf(name, scheduler.now())
        if (name in lastReports && limit == lastReports[name]) {
            scheduled -= name
            return
        }
        port.report(name, limit) { isConfirmed ->
            scheduled -= name
            if (isConfirmed) lastReports[name] = limit
            schedule(name, if (isConfirmed) REPORT_INTERVAL else RETRY_DELAY)
        }
    }

    private companion object {
        const val REPORTING_ENTRIES = 3

        /** Time for the other entries to see the report of the one before. */
        val REPORT_DELAY: Duration = 700.milliseconds

        /** Shortest time between two reports on an upstream whose limit keeps changing. */
        val REPORT_INTERVAL: Duration = 1.seconds
        val RETRY_DELAY: Duration = 2.seconds
    }
}
