package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Estimates when a refused attempt could be served, from the smoothed interval between the ends of calls. */
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

    /** Estimated time until [waiting] attempts and one more are served. */
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
