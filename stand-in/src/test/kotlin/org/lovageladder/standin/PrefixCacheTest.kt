package org.lovageladder.standin

import kotlinx.serialization.json.jsonArray
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class PrefixCacheTest {
    @Test
    fun cachedBlocksNeedNoPrefillUntilEvicted() {
        val cases = listOf(
            CacheCase("a b c d e", cached = 0, prefilled = 5),
            CacheCase("a b c d f g", cached = 4, prefilled = 2),
            CacheCase("a b x y", cached = 2, prefilled = 2),
            CacheCase("p q r s", cached = 0, prefilled = 4),
            CacheCase("a b c d", cached = 2, prefilled = 2),
            CacheCase("m n", cached = 0, prefilled = 2),
            CacheCase("p q r s", cached = 2, prefilled = 2),
        )
        withEngine(EngineSettings(prefixCacheBlocks = 4, prefixBlockTokens = 2)) { engine ->
            var prefilled = 0
            for (case in cases) {
                val usage = engine.complete(case.prompt).at("usage")
                assertEquals(case.cached.toString(), usage.text("prompt_tokens_details", "cached_tokens"), "$case")
                prefilled += case.prefilled
                assertEquals(prefilled.toString(), engine.json("/stats").text("prefill_tokens_total"), "$case")
            }
        }
    }

    @Test
    fun cacheEventsHaveSequenceNumbersAndConfiguredGaps() {
        val settings = EngineSettings(
            prefixCacheBlocks = 1,
            prefixBlockTokens = 1,
            cacheEventLag = 0.milliseconds,
            cacheEventGapEvery = 3,
        )
        withEngine(settings) { engine ->
            listOf("a", "b", "c").forEach { engine.complete(it) }
            val expected = listOf("1 BlockStored", "2 BlockStored", "4 BlockStored", "5 BlockRemoved")
            awaitTrue { engine.events(0) == expected }
            assertEquals(expected.takeLast(1), engine.events(4))
            assertEquals(400, engine.get("/v1/cache_events?after=x").statusCode())
        }
    }

    private fun TestClient.complete(prompt: String) =
        post(COMPLETIONS, """{"prompt":"$prompt","max_tokens":1}""").json()

    private fun TestClient.events(after: Int) =
        json("/v1/cache_events?after=$after").at("events").jsonArray.map { it.text("sequence") + " " + it.text("type") }

    private data class CacheCase(val prompt: String, val cached: Int, val prefilled: Int)
}
