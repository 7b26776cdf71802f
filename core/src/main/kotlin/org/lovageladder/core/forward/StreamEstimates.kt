package org.lovageladder.core.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates learned from the streams of one service: output lengths, start-up time, caller behaviour and, in
 * [rolePlan], the cost of prefill and decode. Confined to one thread.
 */
internal class StreamEstimates(val rolePlan: RolePlan, private val disabledMechanisms: Set<Mechanism> = emptySet()) {
    private val forecasts = HashMap<String, OutputForecast>()
    private val elapsedTimeEstimators = HashMap<String, ElapsedTimeEstimator>()

    /** Average time from the grant of memory to the first event. */
    private var startupTime: Duration = 220.milliseconds

    /** Maximum time for one prefill. */
    val prefillTimeout: Duration = 1.seconds

    /** Minimum time after which a refused caller should return. */
    val minimumReturnDelay: Duration = 2_400.milliseconds

    /** Records that a stream began [time] after its memory was granted. */
    fun recordStart(time: Duration) {
        startupTime =
            (startupTime * (1 - SMOOTHING_FACTOR) + time * SMOOTHING_FACTOR).coerceAtMost(MAXIMUM_STARTUP_TIME)
    }

    /**
     * Time that a stream of [route] is expected to take from the grant of memory to its first event. Part of the target
     * always remains for waiting: if the whole target went to the start, every stream that has to wait for a
     * millisecond would be refused, and fewer streams would begin that correct the estimate.
     */
    fun startupTimeOf(route: Route): Duration = minOf(startupTime, route.latencyTarget * MAXIMUM_STARTUP_SHARE)

    /** Records that a stream of [route] for [generation] ended normally after [events] events. */
    fun recordEnd(route: Route, generation: Generation?, events: Int) {
        val estimate = generation?.estimatedOutputTokens ?: return
        forecastOf(route).recordOutput(estimate, events)
    }

    /** Tokens of memory to reserve for a generation of [route]: its prompt and its output with a margin. */
    fun requiredTokens(route: Route, generation: Generation?, engine: EngineConfiguration?): Int {
        if (generation == null) return TOKENS_WITHOUT_GENERATION
        val output =
            generation.estimatedOutputTokens?.let { forecastTokens(route, it) } ?: generation.maximumOutputTokens
        val boundedOutput = output.coerceIn(1, generation.maximumOutputTokens.coerceAtLeast(1))
        val totalTokens = generation.promptTokens.toLong() + boundedOutput
        return totalTokens.coerceAtMost((engine?.memoryTokens ?: Int.MAX_VALUE).toLong()).toInt()
    }

    /** Estimator of how long callers of [route] have been waiting. */
    fun elapsedTimeOf(route: Route): ElapsedTimeEstimator =
        elapsedTimeEstimators.getOrPut(route.name) { ElapsedTimeEstimator() }

    /** Drops what was learned of routes that are not [configured]. */
    fun retainRoutes(configured: Set<String>) {
        forecasts.keys.retainAll(configured)
        elapsedTimeEstimators.keys.retainAll(configured)
    }

    private fun forecastTokens(route: Route, estimate: Int): Int =
        if (Mechanism.OUTPUT_FORECAST in disabledMechanisms) {
            (estimate * FIXED_OUTPUT_FACTOR).toInt()
        } else {
            forecastOf(route).maximumTokens(estimate, FORECAST_DEVIATIONS)
        }

    private fun forecastOf(route: Route) = forecasts.getOrPut(route.name) { OutputForecast() }

    private companion object {
        const val SMOOTHING_FACTOR = 0.1
        const val TOKENS_WITHOUT_GENERATION = 4_096
        val MAXIMUM_STARTUP_TIME = 600.milliseconds

        /** Largest share of the target that counts as start; it takes effect only at targets below 800 ms. */
        const val MAXIMUM_STARTUP_SHARE = 0.75

        /** Factor on the estimate of the caller when forecasts are switched off. */
        const val FIXED_OUTPUT_FACTOR = 1.3

        /** Standard deviations above the expected output that a reservation covers. */
        const val FORECAST_DEVIATIONS = 1.7
    }
}
