package org.lovageladder.core.forward

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Memory that a stream reserves. Load pattern: half of the streams exceed their estimates, at engines without free
 * memory.
 */
class StreamEstimatesTest {
    @Test
    fun reservationCoversMostStreamsThatExceedTheirEstimate() {
        val route = ForwardFixture.configuration().routes.first { it.kind == RouteKind.STREAM }
        data class Case(val generation: Generation?, val memory: Int, val tokens: Int)
        listOf(
            Case(
                Generation(promptTokens = 3_000, maximumOutputTokens = 3_000, estimatedOutputTokens = 1_000),
                40_000,
                5_339,
            ),
            Case(
                Generation(promptTokens = 3_000, maximumOutputTokens = 1_100, estimatedOutputTokens = 1_000),
                40_000,
                4_100,
            ),
            Case(
                Generation(promptTokens = 3_000, maximumOutputTokens = 2_000, estimatedOutputTokens = null),
                40_000,
                5_000,
            ),
            Case(
                Generation(promptTokens = 3_000, maximumOutputTokens = 2_000, estimatedOutputTokens = 1_000),
                4_000,
                4_000,
            ),
            Case(
                Generation(promptTokens = Int.MAX_VALUE, maximumOutputTokens = 2_000, estimatedOutputTokens = null),
                40_000,
                40_000,
            ),
            Case(generation = null, memory = 40_000, tokens = 4_096),
        ).forEach { case ->
            val engine = EngineConfiguration(8, case.memory, 500.milliseconds, 2.seconds, 6.seconds)
            val estimates = StreamEstimates(RolePlan(defaultPrefillShare = 0.2))
            assertEquals(case.tokens, estimates.requiredTokens(route, case.generation, engine), "$case")
        }
    }
}
