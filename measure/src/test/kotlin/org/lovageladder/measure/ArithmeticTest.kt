package org.lovageladder.measure

import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

internal class ArithmeticTest {
    @Test
    fun fitLineMinimizesSquaredErrors() {
        val cases = mapOf(
            listOf(Sample(0.0, 5.0), Sample(10.0, 25.0)) to Line(intercept = 5.0, slope = 2.0),
            listOf(Sample(1.0, 3.0), Sample(2.0, 3.0), Sample(3.0, 3.0)) to Line(intercept = 3.0, slope = 0.0),
            listOf(Sample(0.0, 1.0), Sample(1.0, 0.0), Sample(2.0, 2.0)) to Line(intercept = 0.5, slope = 0.5),
        )
        for ((samples, line) in cases) assertEquals(line, fitLine(samples))
        assertFailsWith<IllegalArgumentException> { fitLine(listOf(Sample(1.0, 1.0), Sample(1.0, 2.0))) }
    }

    @Test
    fun spreadHasMinimumMedianAndMaximum() {
        val cases = mapOf(
            listOf(4.0) to Spread(4.0, 4.0, 4.0),
            listOf(3.0, 1.0, 2.0) to Spread(1.0, 2.0, 3.0),
            listOf(4.0, 1.0, 2.0, 3.0) to Spread(1.0, 2.5, 4.0),
        )
        for ((values, spread) in cases) assertEquals(spread, spreadOf(values))
    }

    @Test
    fun arrivalsDependOnlyOnTheSeed() {
        val arrivals = poissonArrivals(ratePerSecond = 200.0, duration = 50.seconds, seed = 7)
        assertEquals(arrivals, poissonArrivals(ratePerSecond = 200.0, duration = 50.seconds, seed = 7))
        assertNotEquals(arrivals, poissonArrivals(ratePerSecond = 200.0, duration = 50.seconds, seed = 8))
        assertEquals(arrivals.sorted(), arrivals)
        assertTrue(abs(arrivals.size - 10_000) < 500, "${arrivals.size} arrivals in 50 s at 200 per second")
        assertTrue(arrivals.last() < 50.seconds)
    }

    @Test
    fun expectedTokensContainIndexAndPromptDigest() {
        assertEquals(listOf("w0-ba7816 ", "w1-ba7816 "), expectedTokens("abc", count = 2))
    }
}
