package org.lovageladder.core.forward.capacity

import org.lovageladder.core.ProcessName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.EntryCounter
import org.lovageladder.core.forward.Scheduler
import org.lovageladder.core.forward.messaging.EntryMessagePort
import org.lovageladder.core.forward.messaging.SpeedReport
import kotlin.math.abs
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells a few other entries once a second what this one measured, and takes in what they tell. One of thirty entries
 * measures too few engines by itself before what it learned fades. The recipients are drawn anew each time, so that
 * entries learn of a change one after the other, and the traffic of an entry does not grow with their number.
 *
 * Load pattern: engines that are half as fast as others, behind many entries with one stream a second each. Confined to
 * one thread.
 */
internal class SpeedSharing(
    private val self: ProcessName,
    private val estimates: CapacityEstimates,
    private val entryCounter: EntryCounter,
    private val scheduler: Scheduler,
    private val port: EntryMessagePort,
    private val random: Random,
) {
    /** Begins to tell others. Must be called once. */
    fun start() {
        scheduler.schedule(INTERVAL) {
            send()
            start()
        }
    }

    /** Takes in [report]; [poolOf] gives the pool of an upstream, or null when it is not registered. */
    fun onReport(report: SpeedReport, poolOf: (UpstreamName) -> UpstreamPool?) {
        val now = scheduler.now()
        report.percentages.entries.take(MAXIMUM_UPSTREAMS).forEach { (name, percentage) ->
            poolOf(name)?.let { estimates.recordShared(name, it, percentage / PERCENT, now) }
        }
    }

    private fun send() {
        val percentages = percentages()
        if (percentages.isEmpty()) return
        val others = entryCounter.messageRecipients.filter { it != self }
        val bytes = BYTES_BESIDE_REPORT + percentages.keys.sumOf { it.text.length + BYTES_BESIDE_NAME }
        val recipients = (BYTES_PER_SECOND / bytes).coerceAtMost(MAXIMUM_RECIPIENTS)
        others.shuffled(random).take(recipients).forEach { port.send(it, SpeedReport(percentages)) }
    }

    /** What was measured lately, those that differ most from usual first, as far as it fits one message. */
    private fun percentages(): Map<UpstreamName, Int> {
        var remaining = MAXIMUM_BYTES
        return estimates.ownFactors(scheduler.now())
            .entries
            .sortedByDescending { abs(ln(it.value)) }
            .take(MAXIMUM_UPSTREAMS)
            .takeWhile { (name, _) ->
                remaining -= name.text.length + BYTES_BESIDE_NAME
                remaining >= 0
            }
            .associate { (name, factor) -> name to (factor * PERCENT).roundToInt().coerceAtLeast(1) }
    }

    private companion object {
        val INTERVAL: Duration = 1.seconds
        const val PERCENT = 100.0

        /**
         * Entries that are told each second. As many reports arrive at each entry in a second on average: at thirty
         * entries with five measured engines each, most engines of a pool of forty within a second.
         */
        const val MAXIMUM_RECIPIENTS = 12

        /** What reports may take of the network, a quarter of what an entry may use; long ones go to fewer entries. */
        const val BYTES_PER_SECOND = 4_000
        const val MAXIMUM_UPSTREAMS = 64

        /** Room for names and figures in one message. */
        const val MAXIMUM_BYTES = 1_000

        /** Headers of a datagram and the name of its sender. */
        const val BYTES_BESIDE_REPORT = 100

        /** Length of the name and the percentage, encoded. */
        const val BYTES_BESIDE_NAME = 5
    }
}
