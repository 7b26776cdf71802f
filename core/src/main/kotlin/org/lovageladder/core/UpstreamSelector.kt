package org.lovageladder.core

import kotlin.random.Random

/** Work that an upstream is selected for. */
internal sealed interface Placement {
    /** Decode memory of [pieces] pieces. */
    data class Decode(val pieces: Int) : Placement

    /** A prefill of [promptTokens] tokens; [prefixDigest] is the digest of the beginning of the prompt. */
    data class Prefill(val promptTokens: Int, val prefixDigest: Long) : Placement

    /** One call of a plain service. */
    data object Plain : Placement
}

/**
 * Selects an upstream of a pool.
 *
 * [ChoicePolicy.LEDGER] samples [SAMPLE_SIZE] of the nearest upstreams at random and selects the one with the lowest
 * cost, computed from the companions' ledgers and this entry's latencies (Mitzenmacher, "The Power of Two Choices in
 * Randomized Load Balancing", 2001). [ChoicePolicy.ROUND_ROBIN] selects them in turn. Confined to one thread.
 */
internal class UpstreamSelector(private val settings: EntrySettings, private val table: UpstreamTable) {
    private val random = Random(settings.randomSeed)
    private val roundRobinTurns = HashMap<PoolName, Int>()

    /** Returns the upstream of [pool] for [placement], not one of [excluded]; null when there is none. */
    fun select(pool: PoolName, placement: Placement, excluded: Set<UpstreamName>, now: Moment): UpstreamRecord? {
        val candidates = table.nearestUsable(pool, excluded)
        if (candidates.isEmpty()) return null
        return when (settings.policy) {
            ChoicePolicy.LEDGER -> sampleCandidates(candidates, now).minBy { cost(it, placement) }
            ChoicePolicy.ROUND_ROBIN -> selectRoundRobin(pool, candidates)
        }
    }

    private fun selectRoundRobin(pool: PoolName, candidates: List<UpstreamRecord>): UpstreamRecord {
        val turn = roundRobinTurns.merge(pool, 1, Int::plus) ?: 0
        return candidates[turn % candidates.size]
    }

    private fun sampleCandidates(candidates: List<UpstreamRecord>, now: Moment): List<UpstreamRecord> {
        val notOnProbation = candidates.filter { !it.isOnProbation(now) }
        val includesProbation = random.nextDouble() < PROBATION_PROBABILITY
        val eligible = if (includesProbation || notOnProbation.isEmpty()) candidates else notOnProbation
        return if (eligible.size <= SAMPLE_SIZE) eligible else eligible.shuffled(random).take(SAMPLE_SIZE)
    }

    private fun cost(upstream: UpstreamRecord, placement: Placement): Double = when (placement) {
        is Placement.Decode -> decodeCost(upstream, placement)
        is Placement.Prefill -> prefillCost(upstream, placement)
        is Placement.Plain -> (upstream.backlog() + 1) * (upstream.firstLatency.smoothedMicroseconds + 1.0)
    }

    private fun decodeCost(upstream: UpstreamRecord, placement: Placement.Decode): Double {
        val occupancy = upstream.occupancy(placement.pieces)
        val waiting = upstream.load?.waiting ?: 0
        val isFull = occupancy > 1.0 || upstream.backlog() >= upstream.entry.runningLimit
        val queueCost = if (isFull) FULL_UPSTREAM_COST + waiting else 0.0
        return queueCost + occupancy + upstream.tokenGap.smoothedMicroseconds / MICROSECONDS_PER_COST_UNIT
    }

    private fun prefillCost(upstream: UpstreamRecord, placement: Placement.Prefill): Double {
        val timePerThousandTokens = upstream.prefillTimePerThousandTokens.smoothedMicroseconds + 1.0
        val queued = maxOf(upstream.load?.queuedPrefillTokens ?: 0, upstream.pendingPromptTokens)
        val isPrefixLocal =
            rendezvousHash(placement.prefixDigest.toString(), upstream.name.text) % LOCALITY_MODULUS == 0L
        val cachedTokens = if (isPrefixLocal) placement.promptTokens * EXPECTED_CACHED_FRACTION else 0.0
        return (queued + placement.promptTokens - cachedTokens) * timePerThousandTokens
    }

    private companion object {
        const val SAMPLE_SIZE = 4

        /** Probability that a selection also considers upstreams on probation. */
        const val PROBATION_PROBABILITY = 0.02
        const val FULL_UPSTREAM_COST = 10.0
        const val MICROSECONDS_PER_COST_UNIT = 100_000.0

        /** One in this many upstreams is assumed to have a given prompt prefix in its cache. */
        const val LOCALITY_MODULUS = 4L

        /** Fraction of the prompt tokens assumed to be cached there. */
        const val EXPECTED_CACHED_FRACTION = 0.3
    }
}
