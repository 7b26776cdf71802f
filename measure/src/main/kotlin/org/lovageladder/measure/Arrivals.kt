package org.lovageladder.measure

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Returns the arrival times of a Poisson process of [ratePerSecond] over [duration], from its start, in ascending
 * order. The same seed gives the same times.
 */
internal fun poissonArrivals(ratePerSecond: Double, duration: Duration, seed: Long): List<Duration> {
    val random = Random(seed)
    return generateSequence(exponentialInterval(random, ratePerSecond)) {
        it + exponentialInterval(random, ratePerSecond)
    }
        .takeWhile { it < duration }
        .toList()
}

private fun exponentialInterval(random: Random, ratePerSecond: Double): Duration =
    (-ln(1 - random.nextDouble()) / ratePerSecond).seconds
