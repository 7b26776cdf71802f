package org.lovageladder.core

/**
 * Token bucket that limits extra attempts, such as retries and hedges, to a fraction of the successful requests. Each
 * success adds [tokensPerSuccess] tokens, up to [capacity], and each extra attempt takes one. Confined to one thread.
 */
internal class ExtraAttemptBudget(
    private val tokensPerSuccess: Double,
    private val capacity: Double = DEFAULT_CAPACITY,
) {
    private var tokens = capacity

    /** Adds the tokens of one successful request. */
    fun recordSuccess() {
        tokens = (tokens + tokensPerSuccess).coerceAtMost(capacity)
    }

    /** Takes one token; returns false when less than one is left. */
    fun tryTake(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        const val DEFAULT_CAPACITY = 10.0
    }
}
