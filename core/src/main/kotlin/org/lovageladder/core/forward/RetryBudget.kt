package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the retries sent to one service in a [window]: [retriesPerRequest] retries for each request, plus
 * [sharedRetriesPerWindow] retries for all entries together.
 */
public data class RetryLimits(val retriesPerRequest: Double, val sharedRetriesPerWindow: Double, val window: Duration)

/**
 * Token bucket that bounds the retries and hedges which this process sends to each service. In any window they stay
 * within a ratio of the requests received for the service plus this entry's share of the allowance, which is divided
 * among the [entries]. The bucket holds half of the share and refills by half of it in a window, so that the bound also
 * holds for sliding windows.
 *
 * A bucket begins empty, because an earlier process of this entry may have used its share in the same window. It
 * refills only while other entries count on this one, as [EntryCounter.settledSince] tells: before that, and when this
 * one is cut off from the registry, others may divide the whole allowance among themselves. Requests add to it at any
 * time.
 *
 * Load pattern: upstreams that decline everything while entries start, join and end. Confined to one thread.
 */
internal class RetryBudget(private var limits: RetryLimits, private val entries: EntryCounter) {
    private val buckets = HashMap<ServiceName, TokenBucket>()

    /** Replaces the limits. */
    fun updateLimits(newer: RetryLimits) {
        limits = newer
    }

    /** Records a request of a caller for [service]. */
    fun recordRequest(service: ServiceName, now: Moment) {
        refilled(service, now).add(limits.retriesPerRequest, capacity(now))
    }

    /** Takes one retry or hedge out of the budget. Returns false when the budget is exhausted. */
    fun tryAcquire(service: ServiceName, now: Moment): Boolean {
        val bucket = refilled(service, now)
        if (bucket.tokens < 1) return false
        bucket.take(1)
        return true
    }

    private fun refilled(service: ServiceName, now: Moment): TokenBucket {
        val refillsSince = entries.settledSince(now) ?: now
        val bucket = buckets.getOrPut(service) { TokenBucket(tokens = 0.0, refilledAt = refillsSince) }
        bucket.skipTo(refillsSince)
        bucket.refill(halfOfShare(now) / (limits.window / 1.seconds), capacity(now), now)
        return bucket
    }

    private fun capacity(now: Moment) = halfOfShare(now).coerceAtLeast(1.0)

    private fun halfOfShare(now: Moment) = limits.sharedRetriesPerWindow / entries.count(now) / 2
}
