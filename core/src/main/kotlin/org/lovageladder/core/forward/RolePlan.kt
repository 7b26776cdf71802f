package org.lovageladder.core.forward

import org.lovageladder.core.PoolRole
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * How the engines of one service should be split between prefill and decode, from what its requests cost: the time
 * that a prompt takes on a prefill engine, and the part of a decode engine that a stream holds times how long it holds
 * it. Until enough requests were seen, prefill is taken to be [usualShare] of the work. The prefill pool gets a reserve
 * in proportion to the square root of its work: prompts come unevenly, and a small pool feels that and the loss of an
 * engine more than a large one. The reserve is never less than a part of the work, since prompts that queue at a crest
 * miss their target, while a full decode pool turns only some requests away. Answers the load pattern of a crest, in
 * which one pool is full while the other idles. Confined to one thread.
 */
internal class RolePlan(private val usualShare: Double) {
    private var timePerToken: Duration = Duration.ZERO
    private var promptTokens = 0.0
    private var decodeCost: Duration = Duration.ZERO
    private var prefills = 0
    private var decodes = 0

    /** A prompt of [tokens] was read in [time], which includes the wait for other prompts. */
    fun prefilled(time: Duration, tokens: Int) {
        val sample = time / tokens.coerceAtLeast(1)
        timePerToken = lowQuantile(timePerToken, sample)
        promptTokens += (tokens - promptTokens) * weight(prefills)
        prefills += 1
    }

    /** A stream held [share] of an engine for [time]. */
    fun decoded(time: Duration, share: Double) {
        decodeCost += (time * share - decodeCost) * weight(decodes)
        decodes += 1
    }

    /** Whether enough requests were seen. */
    val measured: Boolean get() = prefills >= LEAST_SAMPLES && decodes >= LEAST_SAMPLES

    /** How many of [count] engines should prefill, as a fraction too; null when there are too few to choose. */
    fun prefillEngines(count: Int): Double? {
        if (count < 2) return null
        val work = count * share()
        val reserve = maxOf(RESERVE * sqrt(work), LEAST_RESERVE * work)
        return (work + reserve).coerceIn(1.0, count - 1.0)
    }

    /**
     * The change that is due among [members], of the one with least work in the pool that is too large by an engine or
     * more; null when there is none, since a change takes an engine out for a while.
     */
    fun nextChange(members: List<Member>, work: (Member) -> Int): RoleChange? {
        val wanted = prefillEngines(members.size) ?: return null
        val (prefill, decode) = members.partition { it.role == PoolRole.PREFILL }
        return when {
            prefill.size - wanted >= LEAST_EXCESS -> RoleChange(prefill.minBy(work), PoolRole.DECODE)
            wanted - prefill.size >= LEAST_EXCESS && decode.size > 1 -> RoleChange(decode.minBy(work), PoolRole.PREFILL)
            else -> null
        }
    }

    private fun share(): Double {
        if (!measured) return usualShare
        val prefillCost = timePerToken * promptTokens
        return prefillCost / (prefillCost + decodeCost)
    }

    /** Follows a low quantile of the samples, which waiting prompts hardly change. */
    private fun lowQuantile(previous: Duration, sample: Duration): Duration {
        if (previous == Duration.ZERO) return sample.coerceAtLeast(LEAST_TIME)
        val factor =
            when {
                sample < previous -> 1 - STEP * (1 - QUANTILE)
                sample > previous -> 1 + STEP * QUANTILE
                else -> 1.0
            }
        return (previous * factor).coerceAtLeast(LEAST_TIME)
    }

    private fun weight(samples: Int) = maxOf(WEIGHT, 1.0 / (samples + 1))

    private companion object {
        const val LEAST_SAMPLES = 12
        const val WEIGHT = 0.05
        const val QUANTILE = 0.2
        const val STEP = 0.1
        val LEAST_TIME: Duration = 1.nanoseconds

        /** Engines by which a pool must be too large. */
        const val LEAST_EXCESS = 1.0

        /** Engines in reserve, for the square root of those that work. */
        const val RESERVE = 0.6

        /** Engines in reserve for each that works, at least. */
        const val LEAST_RESERVE = 0.4
    }
}

/** An order that [engine] take on [role]. */
internal data class RoleChange(val engine: Member, val role: PoolRole)
