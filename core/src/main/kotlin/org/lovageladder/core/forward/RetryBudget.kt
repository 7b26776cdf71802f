package org.lovageladder.core.forward

import kotlin.time.Duration
import org.lovageladder.core.Moment
import org.lovageladder.core.ServiceName

/**
 * Bounds the repeats that this process sends to each service: in any [window], a [ratio] of the requests for it plus
 * an [allowance]. The bound is kept by refilling a bucket, so that it holds for sliding windows. Confined to one thread.
 */
public class RetryBudget(private val ratio: Double, private val allowance: Double, private val window: Duration) {
    private class Bucket(var tokens: Double, var at: Moment)

    private val buckets = HashMap<ServiceName, Bucket>()

    /** A caller's request for [service] arrived. */
    public fun requestArrived(service: ServiceName, now: Moment) {
        val bucket = refilled(service, now)
        bucket.tokens = (bucket.tokens + ratio).coerceAtMost(allowance)
    }

    /** Takes one repeat out of the budget; false when it is used up. */
    public fun tryRepeat(service: ServiceName, now: Moment): Boolean {
        val bucket = refilled(service, now)
        if (bucket.tokens < 1) return false
        bucket.tokens -= 1
        return true
    }

    private fun refilled(service: ServiceName, now: Moment): Bucket {
        val bucket = buckets.getOrPut(service) { Bucket(allowance / 2, now) }
        val share = (now - bucket.at) / window
        bucket.tokens = (bucket.tokens + share * allowance / 2).coerceAtMost(allowance)
        bucket.at = now
        return bucket
    }
}
