package org.lovageladder.core.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What this process learned of the pace of one service's streams. [roles] plans its engines. Confined to one thread.
 */
internal class StreamPace(val roles: RolePlan) {
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

    /**
     * Tokens of memory that a generation needs: its prompt, and of its output as much as the caller expects with a
     * margin, since the estimate is often far off.
     */
    fun memoryFor(generation: Generation?, engine: EngineTraits?): Int {
        if (generation == null) return DEFAULT_TOKENS
        val expected = generation.expectedOutputTokens?.let { (it * OUTPUT_MARGIN).toInt() } ?: generation.outputBound
        val tokens = generation.promptTokens + expected.coerceIn(1, generation.outputBound.coerceAtLeast(1))
        return tokens.coerceAtMost(engine?.memoryTokens ?: tokens)
    }

    private companion object {
        const val WEIGHT = 0.1
        const val OUTPUT_MARGIN = 1.3
        const val DEFAULT_TOKENS = 4_096
        val STARTUP_LIMIT = 600.milliseconds
    }
}
