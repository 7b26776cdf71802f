package org.lovageladder.core.forward

import org.lovageladder.core.PoolRole
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Plans how the engines of one service are split between prefill and decode, from the measured cost of requests: the
 * time that a prompt takes on a prefill engine, and the share of a decode engine that a stream holds, multiplied by how
 * long it holds it. Until enough requests were measured, prefill is assumed to be [defaultPrefillShare] of the work.
 *
 * The prefill pool gets a reserve in proportion to the square root of its work, because prompts arrive unevenly, and
 * uneven arrivals and the loss of an engine affect a small pool more than a large one. The reserve is at least a fixed
 * fraction of the work, because prompts that queue during a load peak miss their target, while a full decode pool turns
 * away only some requests.
 *
 * Load pattern: a load peak in which one pool is full while the other is idle. Confined to one thread.
 */
internal class RolePlan(private val defaultPrefillShare: Double) {
    private var prefillTimePerToken: Duration = Duration.ZERO
    private var meanPromptTokens = 0.0
    private var meanDecodeCost: Duration = Duration.ZERO
    private var prefillSamples = 0
    private var decodeSamples = 0

    /** Records that a prompt of [tokens] tokens was prefilled in [time], including its wait for other prompts. */
    fun recordPrefill(time: Duration, tokens: Int) {
        val newSample = time / tokens.coerceAtLeast(1)
        prefillTimePerToken = updateLowQuantile(prefillTimePerToken, newSample)
        meanPromptTokens += (tokens - meanPromptTokens) * weight(prefillSamples)
        prefillSamples += 1
    }

    /** Records that a stream held [share] of a decode engine for [time]. */
    fun recordDecode(time: Duration, share: Double) {
        meanDecodeCost += (time * share - meanDecodeCost) * weight(decodeSamples)
        decodeSamples += 1
    }

    /** Whether enough requests were measured. */
    val hasEnoughSamples: Boolean get() = prefillSamples >= MINIMUM_SAMPLES && decodeSamples >= MINIMUM_SAMPLES

    /**
     * Wanted number of prefill engines among [engines], with a fraction; null when there are fewer than two engines.
     */
    fun wantedPrefillEngines(engines: Int): Double? {
        if (engines < 2) return null
        val work = engines * prefillShare()
        val reserve = maxOf(RESERVE_FACTOR * sqrt(work), MINIMUM_RESERVE_FACTOR * work)
        return (work + reserve).coerceIn(1.0, engines - 1.0)
    }

    /**
     * The next role change among [upstreams], or null when none is needed. Because a change takes an engine out of
     * service for a while, a pool has to be too large by at least one engine; the engine with the least work in it is
     * changed.
     */
    fun nextChange(upstreams: List<UpstreamRegistration>, work: (UpstreamRegistration) -> Int): RoleChange? {
        val wanted = wantedPrefillEngines(upstreams.size) ?: return null
        val (prefill, decode) = upstreams.partition { it.role == PoolRole.PREFILL }
        return when {
            prefill.size - wanted >= MINIMUM_EXCESS_ENGINES -> RoleChange(prefill.minBy(work), PoolRole.DECODE)
            wanted - prefill.size >= MINIMUM_EXCESS_ENGINES && decode.size > 1 ->
                RoleChange(decode.minBy(work), PoolRole.PREFILL)
            else -> null
        }
    }

    private fun prefillShare(): Double {
        if (!hasEnoughSamples) return defaultPrefillShare
        val prefillCost = prefillTimePerToken * meanPromptTokens
        return prefillCost / (prefillCost + meanDecodeCost)
    }

    /** Running estimate of a low quantile of the samples, which prompts that waited hardly affect. */
    private fun updateLowQuantile(previous: Duration, newSample: Duration): Duration {
        if (previous == Duration.ZERO) return newSample.coerceAtLeast(MINIMUM_TIME)
        val factor =
            when {
                newSample < previous -> 1 - QUANTILE_STEP * (1 - LOW_QUANTILE)
                newSample > previous -> 1 + QUANTILE_STEP * LOW_QUANTILE
                else -> 1.0
            }
        return (previous * factor).coerceAtLeast(MINIMUM_TIME)
    }

    private fun weight(samples: Int) = maxOf(MINIMUM_WEIGHT, 1.0 / (samples + 1))

    private companion object {
        const val MINIMUM_SAMPLES = 12
        const val MINIMUM_WEIGHT = 0.05
        const val LOW_QUANTILE = 0.2
        const val QUANTILE_STEP = 0.1
        val MINIMUM_TIME: Duration = 1.nanoseconds

        /** Number of engines by which a pool has to be too large. */
        const val MINIMUM_EXCESS_ENGINES = 1.0

        /** Reserve engines, multiplied by the square root of the working engines. */
        const val RESERVE_FACTOR = 0.6

        /** Minimum number of reserve engines for each working engine. */
        const val MINIMUM_RESERVE_FACTOR = 0.4
    }
}

/** A change of [engine] to [role]. */
internal data class RoleChange(val engine: UpstreamRegistration, val role: PoolRole)
