package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * The latest [size] latencies of one source, with their quantiles and an exponentially smoothed mean. Quantiles are
 * recomputed after every [QUANTILE_PERIOD] samples. Confined to one thread.
 */
internal class RecentLatency(size: Int = DEFAULT_SIZE) {
    private val samples = LongArray(size)
    private var count = 0L
    private var sorted = LongArray(0)
    private var sortedAt = 0L

    /** Smoothed mean in microseconds; 0 before the first sample. */
    var smoothedMicroseconds: Double = 0.0
        private set

    /** Whether no sample was taken yet. */
    val isEmpty: Boolean get() = count == 0L

    /** Takes in one latency. */
    fun observe(latency: Duration) {
        val microseconds = latency.inWholeMicroseconds
        samples[(count % samples.size).toInt()] = microseconds
        count++
        val weight = if (count == 1L) 1.0 else SMOOTHING
        smoothedMicroseconds += weight * (microseconds - smoothedMicroseconds)
    }

    /** The latency that [part] (0 to 1) of the recent samples don't exceed; null before the first sample. */
    fun quantile(part: Double): Duration? {
        if (isEmpty) return null
        if (sorted.isEmpty() || count - sortedAt >= QUANTILE_PERIOD) sort()
        val index = (part * (sorted.size - 1)).toInt()
        return sorted[index].microseconds
    }

    private fun sort() {
        sorted = samples.copyOf(minOf(count, samples.size.toLong()).toInt()).also(LongArray::sort)
        sortedAt = count
    }

    private companion object {
        const val DEFAULT_SIZE = 128
        const val QUANTILE_PERIOD = 16L
        const val SMOOTHING = 0.2
    }
}
