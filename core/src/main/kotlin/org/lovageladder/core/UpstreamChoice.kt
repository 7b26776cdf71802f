package org.lovageladder.core

import kotlin.random.Random

/** What is to be placed, as far as the choice among upstreams depends on it. */
internal sealed interface Placement {
    /** Decode memory of [pieces] pieces. */
    data class Decode(val pieces: Int) : Placement

    /** A prefill of [promptTokens] tokens whose beginning has [prefixDigest]. */
    data class Prefill(val promptTokens: Int, val prefixDigest: Long) : Placement

    /** One call of a plain service. */
    data object Plain : Placement
}

/**
 * Chooses among the upstreams of a pool.
 *
 * Under [ChoicePolicy.LEDGER] the entry draws [SAMPLES] of its nearest upstreams at random and takes the one with the
 * lowest cost by the companions' ledgers and its own latencies (Mitzenmacher, "The Power of Two Choices in Randomized
 * Load Balancing", 2001).
 * Under [ChoicePolicy.ROUND_ROBIN] it takes them in turn. Confined to one thread.
 */
internal class UpstreamChoice(private val settings: EntrySettings, private val table: UpstreamTable) {
    private val random = Random(settings.randomSeed)
    private val turns = HashMap<PoolName, Int>()

    /** Returns the upstream of [pool] for [placement], none of [excluded]; null when there is none. */
    fun pick(pool: PoolName, placement: Placement, excluded: Set<UpstreamName>, now: Moment): UpstreamRecord? {
        val candidates = table.nearest(pool, excluded)
        if (candidates.isEmpty()) return null
        return when (settings.policy) {
            ChoicePolicy.LEDGER -> sampled(candidates, now).minBy { cost(it, placement) }
            ChoicePolicy.ROUND_ROBIN -> inTurn(pool, candidates)
        }
    }

    private fun inTurn(pool: PoolName, candidates: List<UpstreamRecord>): UpstreamRecord {
        val turn = turns.merge(pool, 1, Int::plus) ?: 0
        return candidates[turn % candidates.size]
    }

    private fun sampled(candidates: List<UpstreamRecord>, now: Moment): List<UpstreamRecord> {
        val inGoodStanding = candidates.filter { !it.onProbation(now) }
        val trickle = random.nextDouble() < PROBATION_TRICKLE
        val pool = if (trickle || inGoodStanding.isEmpty()) candidates else inGoodStanding
        return if (pool.size <= SAMPLES) pool else pool.shuffled(random).take(SAMPLES)
    }

    private fun cost(upstream: UpstreamRecord, placement: Placement): Double = when (placement) {
        is Placement.Decode -> decodeCost(upstream, placement)
        is Placement.Prefill -> prefillCost(upstream, placement)
        is Placement.Plain -> (upstream.backlog() + 1) * (upstream.firstLatency.smoothedMicroseconds + 1.0)
    }

    private fun decodeCost(upstream: UpstreamRecord, placement: Placement.Decode): Double {
        val occupancy = upstream.occupancy(placement.pieces)
        val waiting = upstream.load?.waiting ?: 0
        val full = occupancy > 1.0 || upstream.backlog() >= upstream.entry.runningLimit
        val queueCost = if (full) FULL_COST + waiting else 0.0
        return queueCost + occupancy + upstream.tokenGap.smoothedMicroseconds / TOKEN_GAP_SCALE
    }

    private fun prefillCost(upstream: UpstreamRecord, placement: Placement.Prefill): Double {
        val perThousand = upstream.prefillPerThousandTokens.smoothedMicroseconds + 1.0
        val queued = maxOf(upstream.load?.queuedPrefillTokens ?: 0, upstream.promptTokensAsked)
        val local = rendezvous(placement.prefixDigest.toString(), upstream.name) % LOCALITY_BUCKETS == 0L
        val bonus = if (local) placement.promptTokens * LOCALITY_BONUS else 0.0
        return (queued + placement.promptTokens - bonus) * perThousand
    }

    private companion object {
        const val SAMPLES = 4
        const val PROBATION_TRICKLE = 0.02
        const val FULL_COST = 10.0
        const val TOKEN_GAP_SCALE = 100_000.0
        const val LOCALITY_BUCKETS = 4L
        const val LOCALITY_BONUS = 0.3
    }
}

/** Weight of [name] for [key] in rendezvous hashing; lower is nearer. Not negative. */
internal fun rendezvous(key: String, name: UpstreamName): Long {
    var hash = FNV_OFFSET
    for (character in key) hash = (hash xor character.code.toLong()) * FNV_PRIME
    for (character in name.text) hash = (hash xor character.code.toLong()) * FNV_PRIME
    hash = hash xor (hash ushr MIX_SHIFT)
    return (hash * FNV_PRIME) and Long.MAX_VALUE
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_SHIFT = 29
