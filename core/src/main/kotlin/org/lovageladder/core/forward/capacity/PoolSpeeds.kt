package org.lovageladder.core.forward.capacity

import org.lovageladder.core.Moment
import org.lovageladder.core.UpstreamName
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Speeds of the upstreams of one pool, and the usual time of each kind of measurement. Confined to one thread. */
internal class PoolSpeeds {
    private val upstreams = HashMap<UpstreamName, UpstreamSpeed>()
    private val usualTimes = HashMap<Measure, UsualTime>()
    private var medianAt: Moment? = null
    private var median = 0.0

    val isEmpty: Boolean get() = upstreams.isEmpty()

    fun find(name: UpstreamName): UpstreamSpeed? = upstreams[name]

    fun remove(name: UpstreamName) {
        upstreams.remove(name)
    }

    fun record(upstream: ObservedUpstream, measure: Measure, time: Duration, weight: Double, now: Moment) {
        if (usualTimes.size >= MAXIMUM_MEASURES && measure !in usualTimes) return
        val sample = ln(time.toDouble(DurationUnit.MILLISECONDS))
        val usual = usualTimes.getOrPut(measure) { UsualTime(sample) }
        val slowness = usual.record(upstream.name, sample)
        upstreams.getOrPut(upstream.name) { UpstreamSpeed() }.record(upstream, slowness, weight, median(now), now)
    }

    fun recordCancelled(upstream: ObservedUpstream, measure: Measure, time: Duration, now: Moment) {
        val slowness = usualTimes[measure]?.slownessOf(ln(time.toDouble(DurationUnit.MILLISECONDS))) ?: return
        if (slowness <= 0) return
        upstreams.getOrPut(upstream.name) { UpstreamSpeed() }.record(upstream, slowness, 1.0, median(now), now)
    }

    /** Records that another process measured [name] at [factor] times the usual times of the pool. */
    fun recordShared(name: UpstreamName, factor: Double, now: Moment) =
        upstreams.getOrPut(name) { UpstreamSpeed() }.recordShared(ln(factor), now)

    /** Upstreams that this process measured lately, as multiples of the usual times. */
    fun ownFactors(now: Moment): Map<UpstreamName, Double> =
        upstreams.entries.mapNotNull { (name, speed) -> speed.ownSlowness(now)?.let { name to exp(it) } }.toMap()

    /**
     * Cost factor of [name]: its time relative to the median of the pool. Within [EQUAL_RANGE] of the median, upstreams
     * count as equal, because times vary by that much among equal ones.
     */
    fun costFactor(name: UpstreamName, now: Moment): Double {
        val speed = upstreams[name] ?: return 1.0
        val measured = exp(speed.slowness(now) - median(now))
        val reported = speed.reportedSlowdown(now)?.takeIf { it > EQUAL_RANGE.endInclusive }
        val factor = if (reported == null) measured else maxOf(measured, reported)
        return if (factor in EQUAL_RANGE) 1.0 else factor.coerceIn(MINIMUM_FACTOR, MAXIMUM_FACTOR)
    }

    /** Median slowness of the upstreams with recent samples; zero when too few of them are known to compare. */
    private fun median(now: Moment): Double {
        medianAt?.let { if (now - it < MEDIAN_INTERVAL) return median }
        val known = upstreams.values.filter { it.isRecent(now) }.map { it.slowness(now) }.sorted()
        median = if (known.size < MINIMUM_COMPARED) 0.0 else (known[(known.size - 1) / 2] + known[known.size / 2]) / 2
        medianAt = now
        return median
    }

    companion object {
        /** Upstreams within 25 % of the median of their pool are equal. */
        val EQUAL_RANGE: ClosedFloatingPointRange<Double> = 0.8..1.25
        private const val MINIMUM_FACTOR = 0.25
        private const val MAXIMUM_FACTOR = 8.0
        private const val MINIMUM_COMPARED = 3

        /** Routes of one service whose times are kept; those of further routes are not compared. */
        private const val MAXIMUM_MEASURES = 64
        private val MEDIAN_INTERVAL: Duration = 50.milliseconds
    }
}

/**
 * The usual time of one kind of measurement in a pool: a running median over its samples, as logarithms, taken from
 * each upstream at most [MAXIMUM_STREAK] times in a row, so that one stream with many pauses does not become usual.
 */
internal class UsualTime(first: Double) {
    private var logarithm = first
    private var samples = 1
    private var lastUpstream: UpstreamName? = null
    private var streak = 0

    /** How much slower than usual [sample] is, as a logarithm. */
    fun slownessOf(sample: Double): Double = sample - logarithm

    /** Records [sample] of [upstream] and returns how much slower than usual it is, as a logarithm. */
    fun record(upstream: UpstreamName, sample: Double): Double {
        val slowness = slownessOf(sample)
        streak = if (upstream == lastUpstream) streak + 1 else 0
        lastUpstream = upstream
        if (streak < MAXIMUM_STREAK) {
            samples += 1
            val step = maxOf(FINAL_STEP, 1.0 / samples)
            logarithm += slowness.coerceIn(-step, step)
        }
        return slowness
    }

    private companion object {
        const val MAXIMUM_STREAK = 2

        /** A sample moves the usual time by at most 3 %, so that a pool in which one in four is slow stays compared. */
        const val FINAL_STEP = 0.03
    }
}
