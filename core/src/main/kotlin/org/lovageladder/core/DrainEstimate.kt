package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Estimate of the time until a refused attempt could be served, from the smoothed gap between calls that ended. */
internal class DrainEstimate {
    private var lastEnd: Moment? = null
    private var gapMicroseconds = FIRST_GAP.inWholeMicroseconds.toDouble()

    fun ended(now: Moment) {
        val gap = lastEnd?.let { now - it }
        lastEnd = now
        if (gap == null) return
        val bounded = gap.coerceAtMost(LONGEST_GAP).inWholeMicroseconds.toDouble()
        gapMicroseconds += (bounded - gapMicroseconds) * SMOOTHING
    }

    /** Time until [waiting] attempts and one more were served. */
    fun retryAfter(waiting: Int): Duration =
        (gapMicroseconds * (waiting + 1)).toLong().microseconds.coerceIn(SHORTEST_RETRY, LONGEST_RETRY)

    companion object {
        val SHORTEST_RETRY: Duration = 50.milliseconds
        val LONGEST_RETRY: Duration = 10.seconds
        private val FIRST_GAP: Duration = 50.milliseconds
        private val LONGEST_GAP: Duration = 2.seconds
        private const val SMOOTHING = 0.1
    }
}
