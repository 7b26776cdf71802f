package org.lovageladder.core.forward.capacity

import org.lovageladder.core.Moment
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Weighted mean of samples in which recent ones count most, drawn towards zero while they are few or old. */
internal class RecentMean {
    private var weightedSum = 0.0
    private var weight = 0.0

    /** When the last sample was added; null before the first one. */
    var lastSampleAt: Moment? = null
        private set

    fun add(sample: Double, sampleWeight: Double, now: Moment) {
        val kept = (weight * remainingWeight(now)).coerceAtMost(MAXIMUM_WEIGHT - sampleWeight)
        val previous = if (weight > 0) weightedSum / weight else 0.0
        weightedSum = previous * kept + sample * sampleWeight
        weight = kept + sampleWeight
        lastSampleAt = now
    }

    fun value(now: Moment): Double {
        val at = lastSampleAt ?: return 0.0
        val lifetime = CapacityEstimates.LIFETIME
        val fading = ((lifetime - (now - at)) / (lifetime - FULL_WEIGHT_TIME)).coerceIn(0.0, 1.0)
        return fading * weightedSum / (weight + ASSUMED_WEIGHT)
    }

    private fun remainingWeight(now: Moment): Double = lastSampleAt?.let { 0.5.pow((now - it) / HALF_LIFE) } ?: 0.0

    private companion object {
        /** Weight of the assumed sample of an upstream that is as fast as its pool. */
        const val ASSUMED_WEIGHT = 1.0

        /** Weight of all earlier samples together, so that a change shows after a few samples. */
        const val MAXIMUM_WEIGHT = 5.0

        /** Half-life of the weight of a sample against newer ones. */
        val HALF_LIFE: Duration = 1.seconds

        /**
         * Time for which the last samples count in full. One of thirty entries sends about one stream a second to all
         * engines together; with less time it would know almost none of them.
         */
        val FULL_WEIGHT_TIME: Duration = 3.seconds
    }
}
