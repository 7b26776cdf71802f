package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Estimate of the time until a refused attempt could be served, from the smoothed gap between calls that ended. */
internal class RetryDelayEstimate {
    private var lastEndAt: Moment? = null
    private var gapMicroseconds = INITIAL_GAP.inWholeMicroseconds.toDouble()

    fun recordEnd(now: Moment) {
        val gap = lastEndAt?.let { now - it }
        lastEndAt = now
        if (gap == null) return
        val boundedGap = gap.coerceAtMost(MAXIMUM_GAP).inWholeMicroseconds.toDouble()
        gapMicroseconds += (boundedGap - gapMicroseconds) * SMOOTHING_FACTOR
    }

    /** Time until [waiting] attempts and one more were served. */
    fun retryAfter(waiting: Int): Duration =
        (gapMicroseconds * (waiting + 1)).toLong().microseconds.coerceIn(MINIMUM_RETRY_DELAY, MAXIMUM_RETRY_DELAY)

    companion object {
        val MINIMUM_RETRY_DELAY: Duration = 50.milliseconds
        val MAXIMUM_RETRY_DELAY: Duration = 10.seconds
        private val INITIAL_GAP: Duration = 50.milliseconds
        private val MAXIMUM_GAP: Duration = 2.seconds
        private const val SMOOTHING_FACTOR = 0.1
    }
}
