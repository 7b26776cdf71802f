package org.lovageladder.core

/**
 * Token bucket for extra work such as retries and hedges. Each success earns [ratio] tokens, each extra attempt
 * costs one, and at most [capacity] tokens are kept, so that extra work stays a bounded part of successful work.
 * Confined to one thread.
 */
internal class WorkBudget(private val ratio: Double, private val capacity: Double = DEFAULT_CAPACITY) {
    private var tokens = capacity

    /** Earns the tokens of one successful request. */
    fun succeeded() {
        tokens = (tokens + ratio).coerceAtMost(capacity)
    }

    /** Takes one token; returns false when none is left. */
    fun take(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        const val DEFAULT_CAPACITY = 10.0
    }
}
