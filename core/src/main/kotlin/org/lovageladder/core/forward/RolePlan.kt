package org.lovageladder.core.forward

import org.lovageladder.core.PoolRole
import kotlin.time.Duration

/**
 * How the engines of one service should be split between prefill and decode, from what its requests cost: the time
 * that a prompt takes on a prefill engine, and the part of a decode engine that a stream holds times how long it holds
 * it. Answers the load pattern of a crest, in which one pool is full while the other idles. Confined to one thread.
 */
internal class RolePlan {
    private var prefillCost: Duration = Duration.ZERO
    private var decodeCost: Duration = Duration.ZERO
    private var prefills = 0
    private var decodes = 0

    /** A prompt was read in [time]. */
    fun prefilled(time: Duration) {
        prefillCost = average(prefillCost, time, prefills)
        prefills += 1
    }

    /** A stream held [share] of an engine for [time]. */
    fun decoded(time: Duration, share: Double) {
        decodeCost = average(decodeCost, time * share, decodes)
        decodes += 1
    }

    /** Engines of [members] that should prefill, as a fraction too; null while too little is known. */
    fun prefillEngines(members: List<Member>): Double? {
        if (prefills < LEAST_SAMPLES || decodes < LEAST_SAMPLES || members.size < 2) return null
        val share = prefillCost / (prefillCost + decodeCost)
        return (members.size * share * PREFILL_RESERVE).coerceIn(1.0, members.size - 1.0)
    }

    /**
     * The engine of [members] whose role should change next: the one with least work of the pool that is too large by
     * an engine or more. Null when there is none; a change takes an engine out for a while.
     */
    fun nextChange(members: List<Member>, work: (Member) -> Int): RoleChange? {
        val wanted = prefillEngines(members) ?: return null
        val (prefill, decode) = members.partition { it.role == PoolRole.PREFILL }
        return when {
            prefill.size - wanted >= LEAST_EXCESS -> RoleChange(prefill.minBy(work), PoolRole.DECODE)
            wanted - prefill.size >= LEAST_EXCESS && decode.size > 1 -> RoleChange(decode.minBy(work), PoolRole.PREFILL)
            else -> null
        }
    }

    private fun average(previous: Duration, sample: Duration, samples: Int): Duration {
        val weight = maxOf(WEIGHT, 1.0 / (samples + 1))
        return previous * (1 - weight) + sample * weight
    }

    private companion object {
        const val LEAST_SAMPLES = 6
        const val WEIGHT = 0.05

        /** Engines by which a pool must be too large. */
        const val LEAST_EXCESS = 1.0

        /** A prompt that waits for a prefill engine holds decode memory meanwhile, so prefill gets some more. */
        const val PREFILL_RESERVE = 1.1
    }
}

/** An order that [engine] take on [role]. */
internal data class RoleChange(val engine: Member, val role: PoolRole)
