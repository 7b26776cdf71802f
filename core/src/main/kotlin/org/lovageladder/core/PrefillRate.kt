package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * Smoothed time that a prefill engine needs per prompt token when it runs one prefill at a time; unknown until
 * measured.
 */
internal class PrefillRate {
    private var microsecondsPerToken: Double? = null

    /** Records a prefill of [tokens] that took [elapsed] while up to [concurrency] ran. */
    fun recordPrefill(tokens: Int, elapsed: Duration, concurrency: Int) {
        if (tokens <= 0) return
        val sample = elapsed.inWholeMicroseconds.toDouble() / tokens / concurrency
        val previous = microsecondsPerToken
        microsecondsPerToken = if (previous == null) sample else previous + (sample - previous) * SMOOTHING_FACTOR
    }

    /** Time to process [tokens] one after the other; zero until measured. */
    fun timeFor(tokens: Long): Duration = ((microsecondsPerToken ?: 0.0) * tokens).toLong().microseconds

    private companion object {
        const val SMOOTHING_FACTOR = 0.2
    }
}
