package org.lovageladder.core.forward.capacity

import kotlin.math.pow
import kotlin.random.Random

/** An upstream with its cost and what was learned of it. */
internal interface ChoiceCandidate {
    val cost: Double
    val factor: Double
    val isNear: Boolean
}

/**
 * Orders the upstreams of a pool whose speeds differ. The cheapest of a random sample comes first, so that entries with
 * the same figures neither discover nor leave an upstream at the same moment. The sample is drawn by speed, and apart
 * for this data centre and the others, so that those near are used until waiting there costs more than the distance.
 * Now and then a slow upstream comes first, so that its recovery is noticed.
 */
internal class CapacityChoice(private val random: Random) {
    /** Orders [candidates], the best first. */
    fun <T : ChoiceCandidate> order(candidates: List<T>): List<T> {
        val byCost = candidates.sortedBy { it.cost }
        if (candidates.size < 2 || candidates.all { it.factor == 1.0 }) return byCost
        val (near, far) = candidates.partition { it.isNear }
        val slow = candidates.filter { it.factor > 1.0 }
        val probedShare = PROBED_SHARE * slow.size / candidates.size
        val probed = if (random.nextDouble() < probedShare) slow.random(random) else null
        val sampled = (sample(near) + sample(far)).sortedBy { it.cost }
        return (listOfNotNull(probed) + sampled + byCost).distinct()
    }

    /** Some of [candidates], drawn without replacement with a probability by their speed. */
    private fun <T : ChoiceCandidate> sample(candidates: List<T>): List<T> {
        val size = maxOf(MINIMUM_SAMPLE, candidates.size / SAMPLED_DIVISOR)
        return candidates
            .map { it to random.nextDouble().pow(it.factor) }
            .sortedByDescending { (_, key) -> key }
            .take(size)
            .map { (candidate, _) -> candidate }
    }

    private companion object {
        /** Part of its even share of the requests that a slow upstream gets whatever it costs. */
        const val PROBED_SHARE = 0.1
        const val MINIMUM_SAMPLE = 2

        /**
         * In a pool of many, one in this number is sampled: engines differ in free memory too, which two would not
         * show.
         */
        const val SAMPLED_DIVISOR = 4
    }
}
