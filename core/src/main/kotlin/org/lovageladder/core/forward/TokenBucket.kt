package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Token bucket whose rate and capacity may change with each use. It starts with [tokens]. Confined to one thread. */
internal class TokenBucket(tokens: Double, private var refilledAt: Moment) {
    /** Tokens after the last call; negative after [take] has taken more than there were. */
    var tokens: Double = tokens
        private set

    /** Adds the tokens of the time since the last refill at [tokensPerSecond], up to [capacity]. */
    fun refill(tokensPerSecond: Double, capacity: Double, now: Moment) {
        val elapsedSeconds = (now - refilledAt) / 1.seconds
        refilledAt = now
        add(elapsedSeconds * tokensPerSecond, capacity)
    }

    /** Adds no tokens for the time before [moment]. */
    fun skipTo(moment: Moment) {
        refilledAt = maxOf(refilledAt, moment)
    }

    /** Adds [count] tokens, up to [capacity]. */
    fun add(count: Double, capacity: Double) {
        tokens = (tokens + count).coerceAtMost(capacity)
    }

    /** Takes [count] tokens, whether there are that many or not. */
    fun take(count: Int) {
        tokens -= count
    }

    /** Time until there are [count] tokens at [tokensPerSecond]. */
    fun timeUntil(count: Int, tokensPerSecond: Double): Duration =
        ((count - tokens).coerceAtLeast(0.0) / tokensPerSecond).seconds
}
