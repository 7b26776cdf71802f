package org.lovageladder.core.forward.capacity

import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** The upstreams that are compared with each other. */
internal data class UpstreamPool(val service: ServiceName, val role: PoolRole)

/**
 * An upstream at the moment of a measurement: the [concurrency] there, as far as it is known, of its [slots], and the
 * slowdown that it reports itself.
 */
internal data class ObservedUpstream(
    val name: UpstreamName,
    val pool: UpstreamPool,
    val concurrency: Int,
    val slots: Int,
    val reportedSlowdown: Double?,
)

/** Largest and smallest cost factor of the upstreams of one role. */
internal data class CostFactorRange(val smallest: Double, val largest: Double)

/** An upstream that began or ceased to be slower than its pool, with the factor that shows it. */
internal data class SpeedChange(val name: UpstreamName, val isSlower: Boolean, val factor: Double, val share: Double)

/**
 * How fast each upstream is, compared with the median of its pool, and how much load it takes before it slows down.
 * Both are learned from the calls of this process and from what upstreams report.
 *
 * Times of different kinds (plain routes, prompts, first events, pauses) are compared with the usual time of their kind
 * in the pool, so that all of them count for one figure. One of many entries sees few samples of each upstream; the
 * figure therefore counts from the first sample on, drawn towards 1 by an assumed sample of an equal upstream.
 *
 * Load pattern: upstreams that are half as fast as others from their start, that slow down for some seconds, or that
 * slow down with each request long before their slots are full. Confined to one thread.
 */
internal class CapacityEstimates {
    private val pools = HashMap<UpstreamPool, PoolSpeeds>()
    private val poolOf = HashMap<UpstreamName, UpstreamPool>()
    private val reportedSlower = HashSet<UpstreamName>()

    /** Time that a call to [name] takes, as a multiple of the median of its pool: 2.0 is half as fast. */
    fun costFactor(name: UpstreamName, now: Moment): Double = speeds(name)?.costFactor(name, now) ?: 1.0

    /** Share of its slots or memory that upstream [name] takes without slowing down, from 0.1 to 1. */
    fun usableShare(name: UpstreamName, now: Moment): Double = speeds(name)?.find(name)?.usableShare(now) ?: 1.0

    /** Records that a call of [route] was answered [time] after it was sent. */
    fun recordPlain(upstream: ObservedUpstream, route: String, time: Duration, now: Moment) =
        record(upstream, Measure.Plain(route), time, CALL_WEIGHT, now)

    /**
     * Records that a call of [route] was cancelled [time] after it was sent, for example since a hedge was faster. It
     * counts only if that is slower than usual: otherwise it says nothing.
     */
    fun recordCancelled(upstream: ObservedUpstream, route: String, time: Duration, now: Moment) =
        poolSpeeds(upstream.name, upstream.pool).recordCancelled(upstream, Measure.Plain(route), time, now)

    /** Records that the prefill of a prompt of [tokens] tokens took [time], including its wait for other prompts. */
    fun recordPrefill(upstream: ObservedUpstream, tokens: Int, time: Duration, now: Moment) {
        if (tokens >= MINIMUM_TOKENS) record(upstream, Measure.PromptToken, time / tokens, CALL_WEIGHT, now)
    }

    /** Records that the first event of a stream came [time] after the stream was sent. */
    fun recordFirstEvent(upstream: ObservedUpstream, isPrefilled: Boolean, time: Duration, now: Moment) =
        record(upstream, Measure.FirstEvent(isPrefilled), time, CALL_WEIGHT, now)

    /** Records that [events] events of a running stream came [time] after those before. */
    fun recordPause(upstream: ObservedUpstream, events: Int, time: Duration, now: Moment) =
        record(upstream, Measure.Pause, time / events.coerceAtLeast(1), PAUSE_WEIGHT, now)

    /** Upstreams that this process measured within the last second, as multiples of the usual times of their pool. */
    fun ownFactors(now: Moment): Map<UpstreamName, Double> =
        pools.values.fold(HashMap()) { all, pool -> all.apply { putAll(pool.ownFactors(now)) } }

    /** Records that another process measured upstream [name] of [pool] at [factor] times the usual times. */
    fun recordShared(name: UpstreamName, pool: UpstreamPool, factor: Double, now: Moment) {
        if (!factor.isFinite() || factor <= 0) return
        poolSpeeds(name, pool).recordShared(name, factor, now)
    }

    /** Drops what was learned of upstreams that are not [registered] any more. */
    fun removeUnregistered(registered: (UpstreamName) -> Boolean) {
        val gone = poolOf.keys.filterNot(registered)
        gone.forEach { name ->
            poolOf.remove(name)?.let { pools[it]?.remove(name) }
            reportedSlower -= name
        }
        pools.values.removeIf { it.isEmpty }
    }

    /** Largest and smallest factor of the measured upstreams of each role. */
    fun ranges(now: Moment): Map<PoolRole, CostFactorRange> = poolOf.entries
        .groupBy({ it.value.role }, { costFactor(it.key, now) })
        .mapValues { (_, factors) -> CostFactorRange(factors.min(), factors.max()) }

    /** Upstreams that began or ceased to be slower than their pool since the last call. */
    fun speedChanges(now: Moment): List<SpeedChange> = poolOf.keys.mapNotNull { name ->
        val factor = costFactor(name, now)
        val share = usableShare(name, now)
        val isSlower = factor >= REPORTED_FACTOR || share <= REPORTED_SHARE
        val isUsual = factor == 1.0 && share == 1.0
        when {
            isSlower && reportedSlower.add(name) -> SpeedChange(name, isSlower = true, factor, share)
            isUsual && reportedSlower.remove(name) -> SpeedChange(name, isSlower = false, factor, share)
            else -> null
        }
    }

    private fun speeds(name: UpstreamName): PoolSpeeds? = poolOf[name]?.let { pools[it] }

    private fun record(upstream: ObservedUpstream, measure: Measure, time: Duration, weight: Double, now: Moment) {
        poolSpeeds(upstream.name, upstream.pool)
            .record(upstream, measure, time.coerceAtLeast(MINIMUM_TIME), weight, now)
    }

    /** The speeds of [pool], to which [name] belongs; what it did in another pool is dropped. */
    private fun poolSpeeds(name: UpstreamName, pool: UpstreamPool): PoolSpeeds {
        val previous = poolOf.put(name, pool)
        if (previous != null && previous != pool) pools[previous]?.remove(name)
        return pools.getOrPut(pool) { PoolSpeeds() }
    }

    companion object {
        /** Time without samples after which an upstream counts as equal to its pool. */
        val LIFETIME: Duration = 5.seconds

        private const val CALL_WEIGHT = 1.0

        /** A pause is short and varies more than a whole call, and a stream has many of them. */
        private const val PAUSE_WEIGHT = 0.4

        /** The time of a shorter prompt is mostly that of the call, and says little about the time of a token. */
        private const val MINIMUM_TOKENS = 256
        private const val REPORTED_FACTOR = 1.5
        private const val REPORTED_SHARE = 0.7

        /** A token of a prompt takes microseconds. */
        private val MINIMUM_TIME: Duration = 10.nanoseconds
    }
}

/** What a time was measured of. Times of one kind are compared with each other. */
internal sealed interface Measure {
    data class Plain(val route: String) : Measure

    data object PromptToken : Measure

    data class FirstEvent(val isPrefilled: Boolean) : Measure

    data object Pause : Measure
}
