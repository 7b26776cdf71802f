package org.lovageladder.core.forward.capacity

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.PoolRole
import org.lovageladder.core.forward.EventSink
import org.lovageladder.core.forward.Scheduler
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Records once a second which upstreams began or ceased to be slower than their pool, and publishes the range of the
 * cost factors of each role. [smallestFactor] and [largestFactor] may be read on any thread; all else is confined to
 * one.
 */
public class CapacityReporter internal constructor(
    private val estimates: CapacityEstimates,
    private val scheduler: Scheduler,
    private val log: EventSink,
) {
    @Volatile
    private var ranges: Map<PoolRole, CostFactorRange> = emptyMap()

    /** Begins to report. Must be called once. */
    internal fun start() {
        scheduler.schedule(INTERVAL) {
            report()
            start()
        }
    }

    /** Smallest cost factor of an upstream with [role]; 1.0 when none was measured. */
    public fun smallestFactor(role: PoolRole): Double = ranges[role]?.smallest ?: 1.0

    /** Largest cost factor of an upstream with [role]; 1.0 when none was measured. */
    public fun largestFactor(role: PoolRole): Double = ranges[role]?.largest ?: 1.0

    private fun report() {
        val now = scheduler.now()
        ranges = estimates.ranges(now)
        estimates.speedChanges(now).forEach { change ->
            val kind = if (change.isSlower) EventKind.UPSTREAM_SLOWER else EventKind.UPSTREAM_SPEED_USUAL
            val detail = String.format(Locale.ROOT, "factor=%.2f usable=%.2f", change.factor, change.share)
            log.record(EventDraft(kind, upstream = change.name, detail = detail))
        }
    }

    private companion object {
        val INTERVAL: Duration = 1.seconds
    }
}
