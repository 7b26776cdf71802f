package org.lovageladder.core.forward

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Forecasts the output length of the generations of one route from callers' estimates and from the outputs that ended.
 * The estimates are right at the median and often far off, so that a long output is on average shorter than its
 * estimate and a short one longer. The forecast is a linear regression between the logarithms of estimate and output.
 * Outputs are measured in events of an unknown number of tokens, which follows from the means of both logarithms.
 *
 * The forecast starts with [PRIOR_SAMPLES] assumed outputs whose variance around their estimates is [PRIOR_VARIANCE],
 * so that the first streams of a process reserve enough memory, and then follows recent outputs.
 *
 * Load pattern: half of all streams exceed their estimates, at engines without free memory. Confined to one thread.
 */
internal class OutputForecast {
    private var samples = 0
    private var meanLogEstimate = 0.0
    private var meanLogEvents = 0.0
    private var estimateVariance = 0.0
    private var eventsVariance = 0.0
    private var covariance = 0.0

    /** Tokens in one event at the median output; null before any output ended. */
    val tokensPerEvent: Double? get() = if (samples == 0) null else exp(meanLogEstimate - meanLogEvents)

    /** Records an output that was estimated at [expectedTokens] and ended after [events] events. */
    fun recordOutput(expectedTokens: Int, events: Int) {
        if (expectedTokens < 1 || events < 1) return
        samples = minOf(samples + 1, MAXIMUM_SAMPLES)
        val weight = 1.0 / samples
        val estimateError = ln(expectedTokens.toDouble()) - meanLogEstimate
        val eventsError = ln(events.toDouble()) - meanLogEvents
        meanLogEstimate += weight * estimateError
        meanLogEvents += weight * eventsError
        estimateVariance = updateAverage(estimateVariance, weight, estimateError * estimateError)
        eventsVariance = updateAverage(eventsVariance, weight, eventsError * eventsError)
        covariance = updateAverage(covariance, weight, estimateError * eventsError)
    }

    /**
     * Tokens that an output estimated at [expectedTokens] does not exceed, up to [deviations] standard deviations above
     * its expected length.
     */
    fun maximumTokens(expectedTokens: Int, deviations: Double): Int {
        val logEstimate = ln(expectedTokens.coerceAtLeast(1).toDouble())
        val slope = slope()
        val meanLogOutput = if (samples == 0) logEstimate else meanLogEstimate + slope * (logEstimate - meanLogEstimate)
        return exp(meanLogOutput + deviations * standardDeviation(slope)).coerceAtMost(Int.MAX_VALUE.toDouble()).toInt()
    }

    private fun slope(): Double {
        val priorSquares = PRIOR_SAMPLES * PRIOR_VARIANCE
        return ((samples * covariance + priorSquares) / (samples * estimateVariance + priorSquares)).coerceIn(0.0, 1.0)
    }

    private fun standardDeviation(slope: Double): Double {
        val observed = eventsVariance - 2 * slope * covariance + slope * slope * estimateVariance
        val totalVariance = samples * observed.coerceAtLeast(0.0) + PRIOR_SAMPLES * PRIOR_VARIANCE
        return sqrt(totalVariance / (samples + PRIOR_SAMPLES))
    }

    private fun updateAverage(previous: Double, weight: Double, sample: Double) =
        (1 - weight) * (previous + weight * sample)

    private companion object {
        const val PRIOR_SAMPLES = 8

        /** Variance of the logarithm: about half of the estimates are off by half or more. */
        const val PRIOR_VARIANCE = 0.25

        /** Older outputs lose weight beyond this number. */
        const val MAXIMUM_SAMPLES = 300
    }
}
