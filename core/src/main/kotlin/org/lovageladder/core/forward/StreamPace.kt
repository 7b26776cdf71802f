package org.lovageladder.core.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What this process learned of the pace of one service's streams. [roles] plans its engines. Confined to one thread.
 */
internal class StreamPace(val roles: RolePlan) {
    private val forecasts = HashMap<String, OutputForecast>()

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
        val output =
            generation.expectedOutputTokens?.let { forecastOf(route).tokens(it, DEVIATIONS) } ?: generation.outputBound
        val tokens = generation.promptTokens + output.coerceIn(1, generation.outputBound.coerceAtLeast(1))
        return tokens.coerceAtMost(engine?.memoryTokens ?: tokens)
    }

    /** Forgets routes that are not in [configured]. */
    fun forgetRoutes(configured: Set<String>) {
        forecasts.keys.retainAll(configured)
    }

    private fun forecastOf(route: Route) = forecasts.getOrPut(route.name) { OutputForecast() }

    private companion object {
        const val WEIGHT = 0.1
        const val DEFAULT_TOKENS = 4_096
        val STARTUP_LIMIT = 600.milliseconds

        /** Standard deviations above the expected output that a reservation covers. */
        const val DEVIATIONS = 1.2
    }
}
