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
    private var waits: WaitRange? = null
    private var olderWaits: WaitRange? = null
    private var lastRefusal: Moment? = null

    /** A caller was refused at [now], or others may have been. */
    fun refused(now: Moment) {
        lastRefusal = now
    }

    /** A request arrived at [now] whose caller waits for [wait]. */
    fun arrived(wait: Duration, now: Moment) {
        if (mayHaveReturned(now)) return
        val range = waits?.with(wait) ?: WaitRange(shortest = wait, longest = wait, samples = 1)
        val whole = range.samples >= WINDOW
        if (whole) olderWaits = range
        waits = range.takeUnless { whole }
    }

    /** How long the caller of a request that waits for [wait] has been at it, at least. */
    fun elapsed(wait: Duration): Duration {
        val seen = WaitRange.of(waits, olderWaits)
        if (seen == null || seen.samples < LEAST_SAMPLES) return Duration.ZERO
        return (seen.expectedShortest - wait).coerceAtLeast(Duration.ZERO)
    }

    private fun mayHaveReturned(now: Moment): Boolean = lastRefusal?.let { now - it < LONGEST_RETURN } ?: false

    /** The waits of some first submissions. */
    private data class WaitRange(val shortest: Duration, val longest: Duration, val samples: Int) {
        /** The shortest of all, which is below that of a few by about as much as they lie apart. */
        val expectedShortest: Duration get() = shortest - (longest - shortest) / samples

        fun with(wait: Duration) = WaitRange(minOf(shortest, wait), maxOf(longest, wait), samples + 1)

        companion object {
            fun of(one: WaitRange?, other: WaitRange?): WaitRange? {
                if (one == null || other == null) return one ?: other
                return WaitRange(
                    shortest = minOf(one.shortest, other.shortest),
                    longest = maxOf(one.longest, other.longest),
                    samples = one.samples + other.samples,
                )
            }
        }
    }

    private companion object {
        const val LEAST_SAMPLES = 4

        /** Submissions after which older ones are forgotten. */
        const val WINDOW = 400

        /** By then callers who were refused have come back, or never will. */
        val LONGEST_RETURN: Duration = 6.seconds
    }
}
