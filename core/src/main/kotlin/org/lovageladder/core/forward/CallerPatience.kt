package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells how long callers of one route have been at it when a request arrives. A caller says what is left of its own
 * time, which differs from caller to caller; what the shortest first submission leaves is learned while nobody can have
 * come back, since nobody was refused. A request that leaves less was submitted before. Answers the load pattern of a
 * crest whose refused callers return when they can only be served late. Confined to one thread.
 */
internal class CallerPatience {
    private var shortest: Duration? = null
    private var previousShortest: Duration? = null
    private var samples = 0
    private var lastRefusal: Moment? = null

    /** A caller was refused at [now], or others may have been. */
    fun refused(now: Moment) {
        lastRefusal = now
    }

    /** A request arrived at [now] whose caller waits for [wait]. */
    fun arrived(wait: Duration, now: Moment) {
        if (mayHaveReturned(now)) return
        shortest = minOf(shortest ?: wait, wait)
        samples += 1
        if (samples % WINDOW != 0) return
        previousShortest = shortest
        shortest = null
    }

    /** How long the caller of a request that waits for [wait] has been at it, at least. */
    fun elapsed(wait: Duration): Duration {
        if (samples < LEAST_SAMPLES) return Duration.ZERO
        val least = listOfNotNull(shortest, previousShortest).min()
        return (least - wait).coerceAtLeast(Duration.ZERO)
    }

    private fun mayHaveReturned(now: Moment): Boolean = lastRefusal?.let { now - it < LONGEST_RETURN } ?: false

    private companion object {
        const val LEAST_SAMPLES = 8

        /** Submissions after which older ones begin to be forgotten. */
        const val WINDOW = 400

        /** By then callers who were refused have come back, or never will. */
        val LONGEST_RETURN: Duration = 6.seconds
    }
}
