package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates how long ago the caller of a request first submitted it. A caller states only its remaining time, and the
 * total differs from caller to caller. The shortest remaining time of a first submission is learned while no caller was
 * refused lately, since no request can be a resubmission then. A request with less remaining time must have been
 * submitted before.
 *
 * Load pattern: a load peak whose refused callers return when they can only be served late. Confined to one thread.
 */
internal class ElapsedTimeEstimator {
    private var currentWindow: RemainingTimeRange? = null
    private var previousWindow: RemainingTimeRange? = null
    private var lastRefusedAt: Moment? = null

    /** Records that a caller was refused at [now], or that other entries may have refused some. */
    fun recordRefusal(now: Moment) {
        lastRefusedAt = now
    }

    /** Records a request that arrived at [now] and whose caller waits for [wait]. */
    fun recordArrival(wait: Duration, now: Moment) {
        if (mayBeResubmission(now)) return
        val range = currentWindow?.with(wait) ?: RemainingTimeRange(minimum = wait, maximum = wait, samples = 1)
        val isComplete = range.samples >= WINDOW_SAMPLES
        if (isComplete) previousWindow = range
        currentWindow = range.takeUnless { isComplete }
    }

    /** Lower bound of the time since the first submission of a request whose caller waits for another [wait]. */
    fun minimumElapsed(wait: Duration): Duration {
        val observed = RemainingTimeRange.merge(currentWindow, previousWindow)
        if (observed == null || observed.samples < MINIMUM_SAMPLES) return Duration.ZERO
        return (observed.expectedMinimum - wait).coerceAtLeast(Duration.ZERO)
    }

    private fun mayBeResubmission(now: Moment): Boolean =
        lastRefusedAt?.let { now - it < MAXIMUM_RETURN_DELAY } ?: false

    /** Range of the remaining times of some first submissions. */
    private data class RemainingTimeRange(val minimum: Duration, val maximum: Duration, val samples: Int) {
        /**
         * Estimated minimum over all first submissions. The minimum of few samples lies above it by roughly the mean
         * distance between the samples.
         */
        val expectedMinimum: Duration get() = minimum - (maximum - minimum) / samples

        fun with(wait: Duration) = RemainingTimeRange(minOf(minimum, wait), maxOf(maximum, wait), samples + 1)

        companion object {
            fun merge(first: RemainingTimeRange?, second: RemainingTimeRange?): RemainingTimeRange? {
                if (first == null || second == null) return first ?: second
                return RemainingTimeRange(
                    minimum = minOf(first.minimum, second.minimum),
                    maximum = maxOf(first.maximum, second.maximum),
                    samples = first.samples + second.samples,
                )
            }
        }
    }

    private companion object {
        const val MINIMUM_SAMPLES = 4

        /** Samples in one window; only the current and the previous window count. */
        const val WINDOW_SAMPLES = 400

        /** Refused callers that return do so within this time. */
        val MAXIMUM_RETURN_DELAY: Duration = 6.seconds
    }
}
