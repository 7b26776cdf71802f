package org.lovageladder.core.forward.capacity

import org.lovageladder.core.Moment
import kotlin.math.exp
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Slowness of one upstream as a logarithm relative to the usual times of its pool, and the share of its capacity that
 * it takes without slowing down. Confined to one thread.
 */
internal class UpstreamSpeed {
    private val mean = RecentMean()
    private val ownMean = RecentMean()
    private var slowdown = 1.0
    private var slowdownAt: Moment? = null
    private var share = 1.0

    /** Lowest slowness that the upstream had; rises slowly, so that a lasting change becomes the new level. */
    private var best: Double? = null

    fun isRecent(now: Moment): Boolean = mean.lastSampleAt?.let { now - it < CapacityEstimates.LIFETIME } ?: false

    /** Slowness from the samples of this process and those of others. */
    fun slowness(now: Moment): Double = mean.value(now)

    /** Slowness from samples of this process in the last second; null when there are none. */
    fun ownSlowness(now: Moment): Double? =
        ownMean.lastSampleAt?.let { at -> ownMean.value(now).takeIf { now - at <= SHARED_AGE } }

    /** The slowdown that the upstream reported lately; null when there is none. */
    fun reportedSlowdown(now: Moment): Double? =
        slowdownAt?.let { at -> slowdown.takeIf { now - at < CapacityEstimates.LIFETIME } }

    /** Share of slots or memory that it takes without slowing down; recovers while there are no samples. */
    fun usableShare(now: Moment): Double {
        val at = ownMean.lastSampleAt ?: return 1.0
        return (share + (1 - share) * ((now - at) / CapacityEstimates.LIFETIME)).coerceIn(MINIMUM_SHARE, 1.0)
    }

    /** Records a sample of this process; [median] is the median slowness of the pool. */
    fun record(upstream: ObservedUpstream, slowness: Double, weight: Double, median: Double, now: Moment) {
        val sample = slowness.coerceIn(-MAXIMUM_SLOWNESS, MAXIMUM_SLOWNESS)
        val shareBefore = usableShare(now)
        mean.add(sample, weight, now)
        ownMean.add(sample, weight, now)
        val isSlowerThanPool = exp(slowness(now) - median) > GOOD_RATIO
        share = newShare(shareBefore, upstream, sample, weight, isSlowerThanPool)
        upstream.reportedSlowdown?.let {
            slowdown = it
            slowdownAt = now
        }
    }

    /** Records the [slowness] that another process measured. */
    fun recordShared(slowness: Double, now: Moment) =
        mean.add(slowness.coerceIn(-MAXIMUM_SLOWNESS, MAXIMUM_SLOWNESS), SHARED_WEIGHT, now)

    /**
     * The share after a [sample]: less when the upstream is slower than it was at lower load, in proportion to the
     * slowdown, and step by step more when it is as fast as then. An upstream that is slow together with its pool keeps
     * its share, since a lower load at one would be a higher one at the others.
     */
    private fun newShare(
        current: Double,
        upstream: ObservedUpstream,
        sample: Double,
        weight: Double,
        isSlowerThanPool: Boolean,
    ): Double {
        val lowest = best?.let { minOf(it + BEST_DRIFT * weight, sample) } ?: sample
        best = lowest
        val slots = upstream.slots.coerceAtLeast(1)
        val usedShare = upstream.concurrency.toDouble() / slots
        val ratio = exp(sample - lowest)
        return when {
            ratio > DEGRADED_RATIO && isSlowerThanPool && upstream.concurrency > 1 -> {
                val reduced = minOf(current, usedShare) * (DEGRADED_RATIO / ratio).pow(weight)
                maxOf(reduced, current * MAXIMUM_REDUCTION, 1.0 / slots, MINIMUM_SHARE)
            }
            ratio < GOOD_RATIO -> current + SHARE_STEP * weight
            else -> current
        }.coerceIn(MINIMUM_SHARE, 1.0)
    }

    private companion object {
        /** Logarithm of just over the largest factor, so that a stalled call does not outweigh all later ones. */
        const val MAXIMUM_SLOWNESS = 2.1
        const val SHARED_WEIGHT = 1.0
        val SHARED_AGE: Duration = 1.seconds
        const val MINIMUM_SHARE = 0.1

        /** Times above this multiple of those at lower load show that the load is too high. */
        const val DEGRADED_RATIO = 1.8
        const val GOOD_RATIO = 1.4
        const val SHARE_STEP = 0.05

        /** One sample lowers the share by at most a fifth, since single times vary. */
        const val MAXIMUM_REDUCTION = 0.8
        const val BEST_DRIFT = 0.01
    }
}
