package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.ServiceName
import kotlin.time.Duration

/**
 * Repeats that may be sent to a service in a [window]: a [ratio] of its requests and, for all entries together, an
 * [allowance].
 */
public data class RetryLimits(val ratio: Double, val allowance: Double, val window: Duration)

/**
 * Bounds the repeats that this process sends to each service: in any window, a ratio of the requests that it got for it
 * plus its share of the allowance, which is divided among [entries]. Half of the share may be saved up and half is
 * refilled in a window, so that the bound holds for sliding windows. Confined to one thread.
 */
public class RetryBudget(private var limits: RetryLimits, private val entries: () -> Int) {
    private class Bucket(var tokens: Double, var at: Moment)

    private val buckets = HashMap<ServiceName, Bucket>()

    /** Puts [newer] limits into force. */
    public fun limit(newer: RetryLimits) {
        limits = newer
    }

    /** A caller's request for [service] arrived. */
    public fun requestArrived(service: ServiceName, now: Moment) {
        val bucket = refilled(service, now)
        bucket.tokens = (bucket.tokens + limits.ratio).coerceAtMost(most())
    }

    /** Takes one repeat out of the budget; false when it is used up. */
    public fun tryRepeat(service: ServiceName, now: Moment): Boolean {
        val bucket = refilled(service, now)
        if (bucket.tokens < 1) return false
        bucket.tokens -= 1
        return true
    }

    private fun refilled(service: ServiceName, now: Moment): Bucket {
        val bucket = buckets.getOrPut(service) { Bucket(most(), now) }
        val elapsed = (now - bucket.at) / limits.window
        bucket.tokens = (bucket.tokens + elapsed * halfShare()).coerceAtMost(most())
        bucket.at = now
        return bucket
    }

    private fun most() = halfShare().coerceAtLeast(1.0)

    private fun halfShare() = limits.allowance / entries() / 2
}
