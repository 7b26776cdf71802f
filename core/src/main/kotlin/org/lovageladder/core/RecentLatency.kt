package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * The latest [capacity] latencies of one source, with their quantiles and an exponentially smoothed mean. Quantiles are
 * computed from a sorted copy that is renewed after every [SAMPLES_PER_SORT] samples. Confined to one thread.
 */
internal class RecentLatency(capacity: Int = DEFAULT_CAPACITY) {
    private val samples = LongArray(capacity)
    private var count = 0L
    private var sorted = LongArray(0)
    private var sortedAtCount = 0L

    /** Smoothed mean in microseconds; 0 before the first sample. */
    var smoothedMicroseconds: Double = 0.0
        private set

    /** Whether no latency was recorded yet. */
    val isEmpty: Boolean get() = count == 0L

    /** Records one latency. */
    fun record(latency: Duration) {
        val microseconds = latency.inWholeMicroseconds
        samples[(count % samples.size).toInt()] = microseconds
        count++
        val weight = if (count == 1L) 1.0 else SMOOTHING_FACTOR
        smoothedMicroseconds += weight * (microseconds - smoothedMicroseconds)
    }

    /** Latency that [fraction] (0 to 1) of the recent samples do not exceed; null before the first sample. */
    fun quantile(fraction: Double): Duration? {
        if (isEmpty) return null
        if (sorted.isEmpty() || count - sortedAtCount >= SAMPLES_PER_SORT) refreshSorted()
        val index = (fraction * (sorted.size - 1)).toInt()
        return sorted[index].microseconds
    }

    private fun refreshSorted() {
        sorted = samples.copyOf(minOf(count, samples.size.toLong()).toInt()).also(LongArray::sort)
        sortedAtCount = count
    }

    private companion object {
        const val DEFAULT_CAPACITY = 128
        const val SAMPLES_PER_SORT = 16L
        const val SMOOTHING_FACTOR = 0.2
    }
}
