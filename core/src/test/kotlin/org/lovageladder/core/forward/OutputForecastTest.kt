package org.lovageladder.core.forward

import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Outputs whose estimates are off by a factor that varies, as on routes of different kinds. */
class OutputForecastTest {
    /** Draws outputs of about [median] tokens in events of [stride]; estimates are off by [spread]. */
    private data class Workload(val median: Double, val spread: Double, val estimateSpread: Double, val stride: Int) {
        private val random = Random(7).asJavaRandom()

        fun output() = median * exp(spread * random.nextGaussian())

        fun estimate(output: Double) = (output * exp(estimateSpread * random.nextGaussian())).roundToInt()
    }

    @Test
    fun forecastHoldsTheShareOfOutputsThatItsMarginStandsFor() {
        data class Case(val workload: Workload, val most: Double)
        listOf(
            Case(Workload(median = 5_000.0, spread = 0.5, estimateSpread = 0.5, stride = 77), most = 1.6),
            Case(Workload(median = 400.0, spread = 0.3, estimateSpread = 0.1, stride = 1), most = 1.25),
            Case(Workload(median = 900.0, spread = 0.2, estimateSpread = 1.0, stride = 12), most = 1.6),
        ).forEach { case ->
            val forecast = OutputForecast()
            var held = 0
            var reserved = 0.0
            var used = 0.0
            repeat(1_300) { number ->
                val output = case.workload.output()
                val estimate = case.workload.estimate(output)
                if (number >= 300) {
                    val tokens = forecast.tokens(estimate, deviations = 1.2)
                    if (tokens >= output) held += 1
                    reserved += tokens
                    used += output
                }
                forecast.ended(estimate, (output / case.workload.stride).roundToInt())
            }
            assertTrue(held in 820..950, "$case: $held of 1000 outputs held")
            assertTrue(reserved / used < case.most, "$case: ${reserved / used} reserved for each token used")
        }
    }

    @Test
    fun firstStreamsReserveWellAboveTheirEstimate() {
        assertEquals(1_822, OutputForecast().tokens(1_000, deviations = 1.2))
    }

    @Test
    fun tokensOfAnEventAreLearned() {
        val workload = Workload(median = 5_000.0, spread = 0.5, estimateSpread = 0.5, stride = 77)
        val forecast = OutputForecast()
        repeat(300) {
            val output = workload.output()
            forecast.ended(workload.estimate(output), (output / workload.stride).roundToInt())
        }
        assertEquals(77.0, forecast.tokensOfAnEvent!!, absoluteTolerance = 6.0)
    }

    @Test
    fun figuresThatMakeNoSenseTeachNothing() {
        listOf(0 to 70, -5 to 70, 1_000 to 0, 1_000 to -1).forEach { (estimate, events) ->
            val forecast = OutputForecast()
            forecast.ended(estimate, events)
            assertEquals(1_822, forecast.tokens(1_000, deviations = 1.2), "$estimate, $events")
        }
        assertTrue(OutputForecast().tokens(Int.MAX_VALUE, deviations = 1.2) > 0)
        assertEquals(1, OutputForecast().tokens(-3, deviations = 1.2))
    }
}
