package org.lovageladder.core.forward.memory

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Memory for [tokens] tokens that has been held since [since]. */
internal class HeldMemory(val tokens: Int, val since: Moment)

/**
 * When memory that is held now will be free. Memory is expected to be held for as long as on average; what has been
 * held for longer than that is expected to take as long again as it is overdue, so that engines that turn slow show
 * before their streams end. A rate of the last second would not do: when a load peak begins, the streams that end are
 * still those of the quiet time before. Confined to one thread.
 */
internal class ReleaseForecast {
    private var averageHoldTime: Duration? = null
    private var updatedAt: Moment? = null
    private var releaseTimes: List<Moment> = emptyList()
    private var freedTokens = IntArray(0)

    /** Records that memory was freed after it was held for [heldFor]. */
    fun recordRelease(heldFor: Duration) {
        averageHoldTime = averageHoldTime?.let { it * (1 - SMOOTHING_FACTOR) + heldFor * SMOOTHING_FACTOR } ?: heldFor
    }

    /** Whether the forecast needs an [update], which sorts all that is held. */
    fun isOutdated(now: Moment): Boolean = updatedAt?.let { now - it >= UPDATE_INTERVAL } ?: true

    /** Bases the forecast on all memory that is [held]. */
    fun update(held: List<HeldMemory>, now: Moment) {
        updatedAt = now
        val holdTime = averageHoldTime ?: return
        val releases = held.map { it.tokens to releaseTime(it.since, holdTime, now) }.sortedBy { (_, at) -> at }
        releaseTimes = releases.map { (_, at) -> at }
        freedTokens = releases.runningFold(0) { sum, (tokens, _) -> sum + tokens }.drop(1).toIntArray()
    }

    private fun releaseTime(since: Moment, holdTime: Duration, now: Moment): Moment {
        val expected = since + holdTime
        return if (expected > now) expected else now + (now - expected)
    }

    /** Expected time until [tokens] tokens are freed; zero while no memory was freed yet. */
    fun expectedWait(tokens: Int, now: Moment): Duration {
        val holdTime = averageHoldTime ?: return Duration.ZERO
        if (releaseTimes.isEmpty()) return Duration.ZERO
        val total = freedTokens.last().coerceAtLeast(1)
        // Beyond what is held now, those that get it next have to release it again.
        val rounds = (tokens - 1).coerceAtLeast(0) / total
        val index = freedTokens.binarySearch(tokens - rounds * total).let { if (it < 0) -it - 1 else it }
        return (releaseTimes[index.coerceAtMost(releaseTimes.lastIndex)] - now).coerceAtLeast(Duration.ZERO) +
            holdTime * rounds
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.05

        /** Bounds the time for sorting where thousands of requests hold memory. */
        val UPDATE_INTERVAL: Duration = 50.milliseconds
    }
}
