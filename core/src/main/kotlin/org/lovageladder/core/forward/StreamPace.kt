package org.lovageladder.core.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What this process learned of the pace of one service's streams. [roles] plans its engines. Confined to one thread.
 */
internal class StreamPace(val roles: RolePlan, private val without: Set<Mechanism> = emptySet()) {
    private val forecasts = HashMap<String, OutputForecast>()
    private val patience = HashMap<String, CallerPatience>()

    /** Time from the grant of memory to the first event. */
    var startup: Duration = 220.milliseconds
        private set

    /** Longest wait for a prefill. */
    val prefillLimit: Duration = 1.seconds

    /** Least time after which a refused caller should come back. */
    val returnAfter: Duration = 2_400.milliseconds

    /** A stream began [time] after its memory was granted. */
    fun started(time: Duration) {
        startup = (startup * (1 - WEIGHT) + time * WEIGHT).coerceAtMost(STARTUP_LIMIT)
    }

    /** A stream of [route] for [generation] ended as it should after [events] events. */
    fun ended(route: Route, generation: Generation?, events: Int) {
        val expected = generation?.expectedOutputTokens ?: return
        forecastOf(route).ended(expected, events)
    }

    /** Tokens of memory that a generation of [route] needs: its prompt, and its output with a margin. */
    fun memoryFor(route: Route, generation: Generation?, engine: EngineTraits?): Int {
        if (generation == null) return DEFAULT_TOKENS
        val output = generation.expectedOutputTokens?.let { forecast(route, it) } ?: generation.outputBound
        val tokens = generation.promptTokens + output.coerceIn(1, generation.outputBound.coerceAtLeast(1))
        return tokens.coerceAtMost(engine?.memoryTokens ?: tokens)
    }

    /** What is known of the callers of [route]. */
    fun patienceOf(route: Route): CallerPatience = patience.getOrPut(route.name) { CallerPatience() }

    /** Forgets routes that are not in [configured]. */
    fun forgetRoutes(configured: Set<String>) {
        forecasts.keys.retainAll(configured)
        patience.keys.retainAll(configured)
    }

    private fun forecast(route: Route, expected: Int): Int = if (Mechanism.OUTPUT_FORECAST in without) {
        (expected * FIXED_MARGIN).toInt()
    } else {
        forecastOf(route).tokens(expected, DEVIATIONS)
    }

    private fun forecastOf(route: Route) = forecasts.getOrPut(route.name) { OutputForecast() }

    private companion object {
        const val WEIGHT = 0.1
        const val DEFAULT_TOKENS = 4_096
        val STARTUP_LIMIT = 600.milliseconds

        /** What is reserved of an estimate without a forecast. */
        const val FIXED_MARGIN = 1.3

        /** Standard deviations above the expected output that a reservation covers. */
        const val DEVIATIONS = 1.7
    }
}
