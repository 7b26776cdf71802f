package org.lovageladder.measure

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Draws the arrival times of a Poisson process of [ratePerSecond] over [length], counted from its start, in order.
 * The same seed gives the same times.
 */
internal fun drawArrivals(ratePerSecond: Double, length: Duration, seed: Long): List<Duration> {
    val random = Random(seed)
    return generateSequence(exponentialGap(random, ratePerSecond)) { it + exponentialGap(random, ratePerSecond) }
        .takeWhile { it < length }
        .toList()
}

private fun exponentialGap(random: Random, ratePerSecond: Double): Duration =
    (-ln(1 - random.nextDouble()) / ratePerSecond).seconds
