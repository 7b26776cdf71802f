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
 * among [entryCount] entries. The bucket holds half of the share and refills by half of it in a window, so that the
 * bound also holds for sliding windows. Confined to one thread.
 */
public class RetryBudget(private var limits: RetryLimits, private val entryCount: () -> Int) {
    private val buckets = HashMap<ServiceName, TokenBucket>()

    /** Replaces the limits. */
    public fun updateLimits(newer: RetryLimits) {
        limits = newer
    }

    /** Records a request of a caller for [service]. */
    public fun recordRequest(service: ServiceName, now: Moment) {
        refilled(service, now).add(limits.retriesPerRequest, capacity())
    }

    /** Takes one retry or hedge out of the budget. Returns false when the budget is exhausted. */
    public fun tryAcquire(service: ServiceName, now: Moment): Boolean {
        val bucket = refilled(service, now)
        if (bucket.tokens < 1) return false
        bucket.take(1)
        return true
    }

    private fun refilled(service: ServiceName, now: Moment): TokenBucket {
        val bucket = buckets.getOrPut(service) { TokenBucket(capacity(), now) }
        bucket.refill(halfOfShare() / (limits.window / 1.seconds), capacity(), now)
        return bucket
    }

    private fun capacity() = halfOfShare().coerceAtLeast(1.0)

    private fun halfOfShare() = limits.sharedRetriesPerWindow / entryCount() / 2
}
