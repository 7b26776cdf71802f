package org.lovageladder.core.forward

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Forecast of how long the outputs of one route become, from callers' estimates of them and from the outputs that
 * ended. Callers' estimates are right at the median and often far off, so a long output is on average shorter than its
 * estimate and a short one longer; the forecast is a linear regression between the logarithms of both. Outputs are seen
 * as events, whose number of tokens is unknown: what estimates and outputs have in the middle tells it.
 *
 * The forecast starts from [PRIOR_SAMPLES] assumed outputs that spread around their estimates by [PRIOR_VARIANCE], so
 * that the first streams of a process reserve enough, and follows the outputs of late. Answers the load pattern of
 * estimates that half of all streams exceed, in engines without a free token. Confined to one thread.
 */
internal class OutputForecast {
    private var samples = 0
    private var estimate = 0.0
    private var events = 0.0
    private var estimateVariance = 0.0
    private var eventsVariance = 0.0
    private var covariance = 0.0

    /** Tokens of one event as the median output has them; null before any output ended. */
    val tokensOfAnEvent: Double? get() = if (samples == 0) null else exp(estimate - events)

    /** An output that was expected to have [expectedTokens] ended after [endedAfter] events. */
    fun ended(expectedTokens: Int, endedAfter: Int) {
        if (expectedTokens < 1 || endedAfter < 1) return
        samples = minOf(samples + 1, MOST_SAMPLES)
        val weight = 1.0 / samples
        val estimateError = ln(expectedTokens.toDouble()) - estimate
        val eventsError = ln(endedAfter.toDouble()) - events
        estimate += weight * estimateError
        events += weight * eventsError
        estimateVariance = follow(estimateVariance, weight, estimateError * estimateError)
        eventsVariance = follow(eventsVariance, weight, eventsError * eventsError)
        covariance = follow(covariance, weight, estimateError * eventsError)
    }

    /** Tokens that an output of [expectedTokens] does not exceed, but for the part beyond [deviations] deviations. */
    fun tokens(expectedTokens: Int, deviations: Double): Int {
        val expected = ln(expectedTokens.coerceAtLeast(1).toDouble())
        val slope = slope()
        val centre = if (samples == 0) expected else estimate + slope * (expected - estimate)
        return exp(centre + deviations * deviation(slope)).coerceAtMost(Int.MAX_VALUE.toDouble()).toInt()
    }

    private fun slope(): Double {
        val assumed = PRIOR_SAMPLES * PRIOR_VARIANCE
        return ((samples * covariance + assumed) / (samples * estimateVariance + assumed)).coerceIn(0.0, 1.0)
    }

    private fun deviation(slope: Double): Double {
        val seen = eventsVariance - 2 * slope * covariance + slope * slope * estimateVariance
        val total = samples * seen.coerceAtLeast(0.0) + PRIOR_SAMPLES * PRIOR_VARIANCE
        return sqrt(total / (samples + PRIOR_SAMPLES))
    }

    private fun follow(previous: Double, weight: Double, sample: Double) = (1 - weight) * (previous + weight * sample)

    private companion object {
        const val PRIOR_SAMPLES = 8

        /** Of the logarithm: about half of the estimates are off by a half or more. */
        const val PRIOR_VARIANCE = 0.25

        /** Older outputs count less. */
        const val MOST_SAMPLES = 300
    }
}
