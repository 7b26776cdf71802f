package org.lovageladder.core.forward

import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Outputs whose estimates are off by a varying factor, as on routes of different kinds. */
class OutputForecastTest {
    /**
     * Outputs with a median of [median] tokens in events of [tokensPerEvent] tokens. [spread] and [estimateSpread] are
     * the standard deviations of the logarithms of the output and of the error of its estimate.
     */
    private data class Workload(
        val median: Double,
        val spread: Double,
        val estimateSpread: Double,
        val tokensPerEvent: Int,
    ) {
        private val random = Random(7).asJavaRandom()

        fun output() = median * exp(spread * random.nextGaussian())

        fun estimate(output: Double) = (output * exp(estimateSpread * random.nextGaussian())).roundToInt()
    }

    @Test
    fun forecastCoversTheShareOfOutputsThatItsMarginImplies() {
        data class Case(val workload: Workload, val maximumRatio: Double)
        listOf(
            Case(
                Workload(median = 5_000.0, spread = 0.5, estimateSpread = 0.5, tokensPerEvent = 77),
                maximumRatio = 1.6,
            ),
            Case(Workload(median = 400.0, spread = 0.3, estimateSpread = 0.1, tokensPerEvent = 1), maximumRatio = 1.25),
            Case(Workload(median = 900.0, spread = 0.2, estimateSpread = 1.0, tokensPerEvent = 12), maximumRatio = 1.6),
        ).forEach { case ->
            val forecast = OutputForecast()
            var covered = 0
            var reserved = 0.0
            var used = 0.0
            repeat(1_300) { number ->
                val output = case.workload.output()
                val estimate = case.workload.estimate(output)
                if (number >= 300) {
                    val tokens = forecast.maximumTokens(estimate, deviations = 1.2)
                    if (tokens >= output) covered += 1
                    reserved += tokens
                    used += output
                }
                forecast.recordOutput(estimate, (output / case.workload.tokensPerEvent).roundToInt())
            }
            assertTrue(covered in 820..950, "$case: $covered of 1000 outputs covered")
            assertTrue(reserved / used < case.maximumRatio, "$case: ${reserved / used} reserved for each token used")
        }
    }

    @Test
    fun firstStreamsReserveMoreThanTheirEstimate() {
        assertEquals(1_822, OutputForecast().maximumTokens(1_000, deviations = 1.2))
    }

    @Test
    fun tokensPerEventAreLearned() {
        val workload = Workload(median = 5_000.0, spread = 0.5, estimateSpread = 0.5, tokensPerEvent = 77)
        val forecast = OutputForecast()
        repeat(300) {
            val output = workload.output()
            forecast.recordOutput(workload.estimate(output), (output / workload.tokensPerEvent).roundToInt())
        }
        assertEquals(77.0, forecast.tokensPerEvent!!, absoluteTolerance = 6.0)
    }

    @Test
    fun invalidSamplesAreIgnored() {
        listOf(0 to 70, -5 to 70, 1_000 to 0, 1_000 to -1).forEach { (estimate, events) ->
            val forecast = OutputForecast()
            forecast.recordOutput(estimate, events)
            assertEquals(1_822, forecast.maximumTokens(1_000, deviations = 1.2), "$estimate, $events")
        }
        assertTrue(OutputForecast().maximumTokens(Int.MAX_VALUE, deviations = 1.2) > 0)
        assertEquals(1, OutputForecast().maximumTokens(-3, deviations = 1.2))
    }
}
