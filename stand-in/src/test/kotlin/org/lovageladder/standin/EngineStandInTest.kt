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
    private val fast = EngineSettings(baseTokenGap = 1.milliseconds, reportLag = 0.milliseconds)
    private val endless = fast.copy(baseTokenGap = 1.hours)

    @Test
    fun everyAnswerIsWholeAndItsOwn() {
        val rows =
            listOf(
                AnswerRow("""{"prompt":"a b","max_tokens":3}""", "a b", 0..2),
                AnswerRow("""{"prompt":"other","max_tokens":4,"resume_from":2}""", "other", 2..3),
                AnswerRow("""{"prompt":"x"}""", "x", 0..15),
            )
        EngineStandIn.start(settings = fast).use { engine ->
            val client = TestClient(engine.port)
            for (row in rows) {
                val whole = client.post(TEXT, row.body, ID, "r").json()
                assertEquals(row.expected(), whole.text("choices", "0", "text"))
                assertEquals(row.indexes.count().toString(), whole.text("usage", "completion_tokens"))
                val streamed = client.post(TEXT, row.body.dropLast(1) + ""","stream":true}""", ID, "r")
                assertEquals("r", streamed.headers().firstValue(ID).get())
                assertEquals(row.expected(), streamedText(streamed.body(), "text"))
            }
        }
    }

    @Test
    fun chatAnswersComeWholeAndStreamed() {
        val body = """{"messages":[{"role":"user","content":"hello there"}],"max_tokens":2"""
        val expected = AnswerRow("", "hello there", 0..1).expected()
        EngineStandIn.start(settings = fast).use { engine ->
            val client = TestClient(engine.port)
            val whole = client.post(CHAT, "$body}").json()
            assertEquals(expected, whole.text("choices", "0", "message", "content"))
            val streamed = client.post(CHAT, """$body,"stream":true}""").body()
            assertEquals(expected, streamedText(streamed, "delta", "content"))
        }
    }

    @Test
    fun wrongRequestsAreRefusedNamingTheField() {
        val rows =
            listOf(
                WrongRow(TEXT, """{"prompt":4}""", 400, "prompt"),
                WrongRow(TEXT, """{"max_tokens":2}""", 400, "prompt"),
                WrongRow(TEXT, """{"prompt":"x","max_tokens":"q"}""", 400, "max_tokens"),
                WrongRow(TEXT, """{"prompt":"x","max_tokens":0}""", 400, "max_tokens"),
                WrongRow(TEXT, """{"prompt":"x","max_tokens":2,"resume_from":2}""", 400, "resume_from"),
                WrongRow(
                    TEXT,
                    """{"prompt":"x","kv_transfer_params":{"do_remote_prefill":true}}""",
                    400,
                    "remote_host",
                ),
                WrongRow(TEXT, "nonsense", 400, "body"),
                WrongRow(TEXT, """{"prompt":"x","model":"absent"}""", 404, "model"),
                WrongRow(CHAT, """{"messages":[{"role":"user"}]}""", 400, "content"),
                WrongRow("/v1/role", """{"role":"cook"}""", 400, "role"),
                WrongRow("/fault", """{"slow":2}""", 400, "slow"),
                WrongRow("/fault", """{"slow_factor":2}""", 400, "for_ms"),
                WrongRow("/nowhere", "{}", 404, "/nowhere"),
            )
        EngineStandIn.start(settings = fast.copy(model = "present")).use { engine ->
            for (row in rows) {
                val answer = TestClient(engine.port).post(row.path, row.body)
                assertEquals(row.status, answer.statusCode(), row.body)
                assertTrue(row.named in answer.json().text("error", "message"), answer.body())
            }
        }
    }

    @Test
    fun callsBeyondMemoryOrNumberAreRefusedAtOnce() {
        val rows =
            listOf(
                MemoryRow(endless.copy(pieces = 2), heldTokens = 4097, wantedTokens = 1, heldPieces = 2),
                MemoryRow(endless.copy(pieces = 2), heldTokens = 4, wantedTokens = 4097, heldPieces = 1),
                MemoryRow(endless.copy(maximumRunning = 1), heldTokens = 4, wantedTokens = 4, heldPieces = 1),
            )
        for (row in rows) {
            EngineStandIn.start(settings = row.settings).use { engine ->
                val client = TestClient(engine.port)
                client.postLater(TEXT, """{"prompt":"","max_tokens":${row.heldTokens}}""")
                awaitTrue { client.json(RUNNING).text("pieces_held") == row.heldPieces.toString() }
                val refused = client.post(TEXT, """{"prompt":"","max_tokens":${row.wantedTokens}}""")
                assertEquals(503, refused.statusCode())
                assertEquals("out_of_memory", refused.json().text("error", "type"))
                assertEquals("1", client.json("/stats").text("rejected"))
            }
        }
    }

    @Test
    fun cancelFreesMemoryAtOnceAndEndsTheAnswer() {
        EngineStandIn.start(settings = endless).use { engine ->
            val client = TestClient(engine.port)
            val answer = client.postLater(TEXT, """{"prompt":"a","stream":true}""", ID, "gone")
            awaitTrue { client.json(RUNNING).at("running").jsonArray.isNotEmpty() }
            assertEquals("true", client.post("/v1/cancel", """{"request_id":"gone"}""").json().text("cancelled"))
            assertEquals("0", client.json(RUNNING).text("pieces_held"))
            assertTrue(""""finish_reason":"cancelled"""" in answer.get().body())
            assertEquals("false", client.post("/v1/cancel", """{"request_id":"gone"}""").json().text("cancelled"))
        }
    }

    @Test
    fun aClosedConnectionFreesMemoryOnlyWhenToldSo() {
        for (frees in listOf(true, false)) {
            val settings = fast.copy(freeOnDisconnect = frees)
            EngineStandIn.start(settings = settings).use { engine ->
                val client = TestClient(engine.port)
                val stream = client.openStream(TEXT, """{"prompt":"a","max_tokens":100000,"stream":true}""")
                stream.readLine()
                val seen = client.json("/stats").text("decode_tokens_total").toLong()
                stream.close()
                if (frees) {
                    awaitTrue { client.json(RUNNING).text("pieces_held") == "0" }
                } else {
                    awaitTrue { client.json("/stats").text("decode_tokens_total").toLong() > seen + 200 }
                    assertEquals("25", client.json(RUNNING).text("pieces_held"))
                }
            }
        }
    }

    @Test
    fun prefillsRunByPriorityThenArrival() {
        EngineStandIn.start(settings = fast.copy(prefillTokensPerSecond = 10)).use { engine ->
            val client = TestClient(engine.port)
            val order = java.util.Collections.synchronizedList(ArrayList<String>())
            val rows =
                listOf(
                    PriorityRow("first", priority = 9, promptTokens = 15),
                    PriorityRow("late", priority = 5, promptTokens = 1),
                    PriorityRow("urgent", priority = 1, promptTokens = 1),
                    PriorityRow("later", priority = 5, promptTokens = 1),
                )
            val calls =
                rows.mapIndexed { index, row ->
                    val call = client.postLater(TEXT, row.body(), ID, row.name).thenRun { order.add(row.name) }
                    awaitTrue { client.json(RUNNING).at("running").jsonArray.size == index + 1 }
                    call
                }
            calls.forEach { it.get() }
            assertEquals(listOf("first", "urgent", "late", "later"), order)
        }
    }

    @Test
    fun faultsHoldTokensBack() {
        val rows =
            listOf(
                FaultRow("""{"slow_factor":10,"for_ms":60000}""", 800.milliseconds),
                FaultRow("""{"stall_ms":500}""", 500.milliseconds),
            )
        for (row in rows) {
            EngineStandIn.start(settings = fast.copy(baseTokenGap = 20.milliseconds)).use { engine ->
                val client = TestClient(engine.port)
                val duration =
                    measureTime {
                        client.post("/fault", row.fault)
                        client.post(TEXT, """{"prompt":"a","max_tokens":5}""")
                    }
                assertTrue(duration >= row.atLeast, "${row.fault} took $duration")
            }
        }
    }

    @Test
    fun aCrashClosesEverything() {
        EngineStandIn.start(settings = endless).use { engine ->
            val client = TestClient(engine.port)
            val running = client.postLater(TEXT, """{"prompt":"a"}""")
            awaitTrue { client.json(RUNNING).at("running").jsonArray.isNotEmpty() }
            assertEquals(200, client.post("/fault", """{"crash":true}""").statusCode())
            assertTrue(running.handle { _, error -> error != null }.get())
            awaitTrue { runCatching { client.get("/health") }.isFailure }
        }
    }

    @Test
    fun metricsShowTheLoadOfThePast() {
        for ((lag, shown) in listOf(0.seconds to "1.0", 1.hours to "0.0")) {
            EngineStandIn.start(settings = endless.copy(reportLag = lag)).use { engine ->
                val client = TestClient(engine.port)
                client.postLater(TEXT, """{"prompt":"a"}""")
                awaitTrue { client.json("/stats").text("prefill_tokens_total") == "1" }
                val line = client.get("/metrics").body().lines().single { it.startsWith("vllm:num_requests_running{") }
                assertEquals(shown, line.substringAfter("} "))
            }
        }
    }

    private data class AnswerRow(val body: String, val prompt: String, val indexes: IntRange) {
        fun expected(): String {
            val digest = java.security.MessageDigest.getInstance("SHA-256").digest(prompt.toByteArray())
            val mark = digest.joinToString("") { "%02x".format(it) }.take(6)
            return indexes.joinToString("") { "w$it-$mark " }
        }
    }

    private data class PriorityRow(val name: String, val priority: Int, val promptTokens: Int) {
        fun body(): String {
            val prompt = "p ".repeat(promptTokens)
            return """{"prompt":"$prompt","max_tokens":1,"priority":$priority,$REMOTE_DECODE}"""
        }
    }

    private data class WrongRow(val path: String, val body: String, val status: Int, val named: String)

    private data class MemoryRow(
        val settings: EngineSettings,
        val heldTokens: Int,
        val wantedTokens: Int,
        val heldPieces: Int,
    )

    private data class FaultRow(val fault: String, val atLeast: kotlin.time.Duration)
}

internal const val TEXT = "/v1/completions"
internal const val CHAT = "/v1/chat/completions"
internal const val RUNNING = "/v1/running"
internal const val ID = "X-Request-Id"
internal const val REMOTE_DECODE = """"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false}"""

/** Joins the tokens of a stream whose last event is `[DONE]`. */
internal fun streamedText(body: String, vararg path: String): String {
    val events = body.lines().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }
    assertEquals("[DONE]", events.last())
    return events.dropLast(1).joinToString("") { event ->
        kotlinx.serialization.json.Json.parseToJsonElement(event).text("choices", "0", *path)
    }
}

internal fun HttpResponse<String>.transfer(): JsonObject = json().at("kv_transfer_params") as JsonObject
