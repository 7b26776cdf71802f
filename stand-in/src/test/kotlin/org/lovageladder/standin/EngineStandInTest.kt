package org.lovageladder.standin

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import java.net.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class EngineStandInTest {
    private val fastSettings = EngineSettings(baseTokenGap = 1.milliseconds, reportLag = 0.milliseconds)
    private val stoppedDecodeSettings = fastSettings.copy(baseTokenGap = 1.hours)

    @Test
    fun completeAndStreamedAnswersContainTheTokensOfThePrompt() {
        val cases = listOf(
            CompletionCase("""{"prompt":"a b","max_tokens":3}""", "a b", 0..2),
            CompletionCase("""{"prompt":"other","max_tokens":4,"resume_from":2}""", "other", 2..3),
            CompletionCase("""{"prompt":"x"}""", "x", 0..15),
        )
        withEngine(fastSettings) { client ->
            for (case in cases) {
                val complete = client.post(COMPLETIONS, case.body, REQUEST_ID, "r").json()
                assertEquals(case.expected(), complete.text("choices", "0", "text"))
                assertEquals(case.indexes.count().toString(), complete.text("usage", "completion_tokens"))
                val streamed = client.post(COMPLETIONS, case.body.dropLast(1) + ""","stream":true}""", REQUEST_ID, "r")
                assertEquals("r", streamed.headers().firstValue(REQUEST_ID).get())
                assertEquals(case.expected(), streamedText(streamed.body(), "text"))
            }
        }
    }

    @Test
    fun chatAnswersAreCompleteOrStreamed() {
        val body = """{"messages":[{"role":"user","content":"hello there"}],"max_tokens":2"""
        val expected = CompletionCase("", "hello there", 0..1).expected()
        withEngine(fastSettings) { client ->
            val complete = client.post(CHAT_COMPLETIONS, "$body}").json()
            assertEquals(expected, complete.text("choices", "0", "message", "content"))
            val streamed = client.post(CHAT_COMPLETIONS, """$body,"stream":true}""").body()
            assertEquals(expected, streamedText(streamed, "delta", "content"))
        }
    }

    @Test
    fun invalidRequestsAreRefusedWithTheFieldName() {
        val cases = listOf(
            InvalidRequestCase(COMPLETIONS, """{"prompt":4}""", 400, "prompt"),
            InvalidRequestCase(COMPLETIONS, """{"max_tokens":2}""", 400, "prompt"),
            InvalidRequestCase(COMPLETIONS, """{"prompt":"x","max_tokens":"q"}""", 400, "max_tokens"),
            InvalidRequestCase(COMPLETIONS, """{"prompt":"x","max_tokens":0}""", 400, "max_tokens"),
            InvalidRequestCase(
                COMPLETIONS,
                """{"prompt":"x","max_tokens":2,"resume_from":2}""",
                400,
                "resume_from",
            ),
            InvalidRequestCase(
                COMPLETIONS,
                """{"prompt":"x","kv_transfer_params":{"do_remote_prefill":true}}""",
                400,
                "remote_host",
            ),
            InvalidRequestCase(COMPLETIONS, "nonsense", 400, "body"),
            InvalidRequestCase(COMPLETIONS, """{"prompt":"x","model":"absent"}""", 404, "model"),
            InvalidRequestCase(CHAT_COMPLETIONS, """{"messages":[{"role":"user"}]}""", 400, "content"),
            InvalidRequestCase("/v1/role", """{"role":"cook"}""", 400, "role"),
            InvalidRequestCase("/fault", """{"slow":2}""", 400, "slow"),
            InvalidRequestCase("/fault", """{"slow_factor":2}""", 400, "for_ms"),
            InvalidRequestCase("/nowhere", "{}", 404, "/nowhere"),
        )
        EngineStandIn.start(settings = fastSettings.copy(model = "present")).use { engine ->
            for (case in cases) {
                val answer = TestClient(engine.port).post(case.path, case.body)
                assertEquals(case.status, answer.statusCode(), case.body)
                assertTrue(case.expectedText in answer.json().text("error", "message"), answer.body())
            }
        }
    }

    @Test
    fun callsAboveMemoryOrConcurrencyLimitAreRefusedAtOnce() {
        val cases = listOf(
            CapacityCase(stoppedDecodeSettings.copy(pieces = 2), heldTokens = 4097, wantedTokens = 1, heldPieces = 2),
            CapacityCase(stoppedDecodeSettings.copy(pieces = 2), heldTokens = 4, wantedTokens = 4097, heldPieces = 1),
            CapacityCase(
                stoppedDecodeSettings.copy(maximumRunning = 1),
                heldTokens = 4,
                wantedTokens = 4,
                heldPieces = 1,
            ),
        )
        for (case in cases) {
            withEngine(case.settings) { client ->
                client.postAsync(COMPLETIONS, """{"prompt":"","max_tokens":${case.heldTokens}}""")
                awaitTrue { client.json(RUNNING_CALLS).text("pieces_held") == case.heldPieces.toString() }
                val refused = client.post(COMPLETIONS, """{"prompt":"","max_tokens":${case.wantedTokens}}""")
                assertEquals(503, refused.statusCode())
                assertEquals("out_of_memory", refused.json().text("error", "type"))
                assertEquals("1", client.json("/stats").text("rejected"))
            }
        }
    }

    @Test
    fun cancelFreesMemoryAtOnceAndEndsTheAnswer() {
        withEngine(stoppedDecodeSettings) { client ->
            val answer = client.postAsync(COMPLETIONS, """{"prompt":"a","stream":true}""", REQUEST_ID, "gone")
            awaitTrue { client.json(RUNNING_CALLS).at("running").jsonArray.isNotEmpty() }
            assertEquals("true", client.post("/v1/cancel", """{"request_id":"gone"}""").json().text("cancelled"))
            assertEquals("0", client.json(RUNNING_CALLS).text("pieces_held"))
            assertTrue(""""finish_reason":"cancelled"""" in answer.get().body())
            assertEquals("false", client.post("/v1/cancel", """{"request_id":"gone"}""").json().text("cancelled"))
        }
    }

    @Test
    fun disconnectFreesMemoryOnlyIfConfigured() {
        for (freeOnDisconnect in listOf(true, false)) {
            val settings = fastSettings.copy(freeOnDisconnect = freeOnDisconnect)
            withEngine(settings) { client ->
                val stream = client.openStream(COMPLETIONS, """{"prompt":"a","max_tokens":100000,"stream":true}""")
                stream.readLine()
                val tokensBefore = client.json("/stats").text("decode_tokens_total").toLong()
                stream.close()
                if (freeOnDisconnect) {
                    awaitTrue { client.json(RUNNING_CALLS).text("pieces_held") == "0" }
                } else {
                    awaitTrue { client.json("/stats").text("decode_tokens_total").toLong() > tokensBefore + 200 }
                    assertEquals("25", client.json(RUNNING_CALLS).text("pieces_held"))
                }
            }
        }
    }

    @Test
    fun prefillsRunByPriorityThenArrival() {
        withEngine(fastSettings.copy(prefillTokensPerSecond = 10)) { client ->
            val order = java.util.Collections.synchronizedList(ArrayList<String>())
            val cases = listOf(
                PriorityCase("first", priority = 9, promptTokens = 15),
                PriorityCase("late", priority = 5, promptTokens = 1),
                PriorityCase("urgent", priority = 1, promptTokens = 1),
                PriorityCase("later", priority = 5, promptTokens = 1),
            )
            val calls = cases.mapIndexed { index, case ->
                val call = client.postAsync(COMPLETIONS, case.body(), REQUEST_ID, case.name).thenRun {
                    order.add(case.name)
                }
                awaitTrue { client.json(RUNNING_CALLS).at("running").jsonArray.size == index + 1 }
                call
            }
            calls.forEach { it.get() }
            assertEquals(listOf("first", "urgent", "late", "later"), order)
        }
    }

    @Test
    fun slownessAndStallsDelayTokens() {
        val cases = listOf(
            FaultCase("""{"slow_factor":10,"for_ms":60000}""", 800.milliseconds),
            FaultCase("""{"stall_ms":500}""", 500.milliseconds),
        )
        for (case in cases) {
            withEngine(fastSettings.copy(baseTokenGap = 20.milliseconds)) { client ->
                val duration = measureTime {
                    client.post("/fault", case.fault)
                    client.post(COMPLETIONS, """{"prompt":"a","max_tokens":5}""")
                }
                assertTrue(duration >= case.minimumDuration, "${case.fault} took $duration")
            }
        }
    }

    @Test
    fun crashClosesConnectionsAndListener() {
        withEngine(stoppedDecodeSettings) { client ->
            val running = client.postAsync(COMPLETIONS, """{"prompt":"a"}""")
            awaitTrue { client.json(RUNNING_CALLS).at("running").jsonArray.isNotEmpty() }
            assertEquals(200, client.post("/fault", """{"crash":true}""").statusCode())
            assertTrue(running.handle { _, error -> error != null }.get())
            awaitTrue { runCatching { client.get("/health") }.isFailure }
        }
    }

    @Test
    fun metricsShowTheLoadAfterTheReportLag() {
        for ((lag, expected) in listOf(0.seconds to "1.0", 1.hours to "0.0")) {
            withEngine(stoppedDecodeSettings.copy(reportLag = lag)) { client ->
                client.postAsync(COMPLETIONS, """{"prompt":"a"}""")
                awaitTrue { client.json("/stats").text("prefill_tokens_total") == "1" }
                val line = client.get("/metrics").body().lines().single { it.startsWith("vllm:num_requests_running{") }
                assertEquals(expected, line.substringAfter("} "))
            }
        }
    }

    private data class CompletionCase(val body: String, val prompt: String, val indexes: IntRange) {
        fun expected(): String {
            val digest = java.security.MessageDigest.getInstance("SHA-256").digest(prompt.toByteArray())
            val digestPrefix = digest.joinToString("") { "%02x".format(it) }.take(6)
            return indexes.joinToString("") { "w$it-$digestPrefix " }
        }
    }

    private data class PriorityCase(val name: String, val priority: Int, val promptTokens: Int) {
        fun body(): String {
            val prompt = "p ".repeat(promptTokens)
            return """{"prompt":"$prompt","max_tokens":1,"priority":$priority,$REMOTE_DECODE}"""
        }
    }

    private data class InvalidRequestCase(val path: String, val body: String, val status: Int, val expectedText: String)

    private data class CapacityCase(
        val settings: EngineSettings,
        val heldTokens: Int,
        val wantedTokens: Int,
        val heldPieces: Int,
    )

    private data class FaultCase(val fault: String, val minimumDuration: kotlin.time.Duration)
}

internal const val COMPLETIONS = "/v1/completions"
internal const val CHAT_COMPLETIONS = "/v1/chat/completions"
internal const val RUNNING_CALLS = "/v1/running"
internal const val REQUEST_ID = "X-Request-Id"
internal const val REMOTE_DECODE = """"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false}"""

/** Joins the tokens of a stream and checks that its last event is `[DONE]`. */
internal fun streamedText(body: String, vararg path: String): String {
    val events = body.lines().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }
    assertEquals("[DONE]", events.last())
    return events.dropLast(1).joinToString("") { event ->
        kotlinx.serialization.json.Json.parseToJsonElement(event).text("choices", "0", *path)
    }
}

internal fun HttpResponse<String>.transfer(): JsonObject = json().at("kv_transfer_params") as JsonObject
