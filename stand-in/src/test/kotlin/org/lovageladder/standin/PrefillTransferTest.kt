package org.lovageladder.standin

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class PrefillTransferTest {
    private val prefillSettings =
        EngineSettings(role = EngineRole.PREFILL, name = "p", keepTime = 20.seconds, linkBytesPerSecond = 1_000_000_000)
    private val decodeSettings =
        EngineSettings(role = EngineRole.DECODE, name = "d", baseTokenGap = 1.milliseconds)

    @Test
    fun aFetchedPrefillDecodesToTheSameTokens() {
        withEngines(prefillSettings) { prefill, decode ->
            val transfer = prefill.post(TEXT, """{"prompt":"a b c","max_tokens":1,$REMOTE_DECODE}""").transfer()
            assertEquals("true", transfer.text("do_remote_prefill"))
            val answer = decode.post(TEXT, decodeBody(transfer)).json()
            val alone = decode.post(TEXT, """{"prompt":"a b c","max_tokens":2}""").json()
            assertEquals(alone.text("choices", "0", "text"), answer.text("choices", "0", "text"))
            assertEquals("3", prefill.json("/stats").text("prefill_tokens_total"))
            assertEquals("3", decode.json("/stats").text("prefill_tokens_total"))
        }
    }

    @Test
    fun aDecodeResumesFromAPrefillOfPromptAndTokens() {
        withEngines(prefillSettings) { prefill, decode ->
            val again = """"resume_from":1,$REMOTE_DECODE"""
            val first = prefill.post(TEXT, """{"prompt":"a b c","max_tokens":1,$again}""")
            assertEquals("4", prefill.json("/stats").text("prefill_tokens_total"))
            val whole = decode.post(TEXT, """{"prompt":"a b c","max_tokens":2}""").json().text("choices", "0", "text")
            val body = decodeBody(first.transfer()).dropLast(1) + ""","resume_from":1}"""
            val rest = decode.post(TEXT, body).json().text("choices", "0", "text")
            assertEquals(whole.substringAfter(" "), rest)
        }
    }

    @Test
    fun aPrefillThatCannotBeFetchedFailsTheDecodeAndFreesItsMemory() {
        val lost = JsonPrimitive("lost")
        val rows =
            listOf(
                LossRow("expired before", prefillSettings.copy(keepTime = 1.milliseconds), 410) {
                    awaitTrue { it.json("/stats").text("prefills_expired") == "1" }
                },
                LossRow(
                    "expired on the way",
                    prefillSettings.copy(keepTime = 200.milliseconds, linkBytesPerSecond = 1),
                    410,
                ),
                LossRow("unknown name", prefillSettings, 410, change = mapOf("remote_request_id" to lost)),
                LossRow("successor at the address", prefillSettings, 410, change = mapOf("remote_engine_id" to lost)),
                LossRow(
                    "nobody at the address",
                    prefillSettings,
                    502,
                    change = mapOf("remote_port" to JsonPrimitive(1)),
                ),
            )
        for (row in rows) {
            withEngines(row.settings) { prefill, decode ->
                val transfer = prefill.post(TEXT, """{"prompt":"a b c","max_tokens":1,$REMOTE_DECODE}""").transfer()
                row.meanwhile(prefill)
                val answer = decode.post(TEXT, decodeBody(JsonObject(transfer + row.change)))
                assertEquals(row.status, answer.statusCode(), row.name)
                assertEquals("0", decode.json(RUNNING).text("pieces_held"), row.name)
            }
        }
    }

    @Test
    fun aStalledTransferResumes() {
        withEngines(prefillSettings) { prefill, decode ->
            val transfer = prefill.post(TEXT, """{"prompt":"a b c","max_tokens":1,$REMOTE_DECODE}""").transfer()
            val duration =
                measureTime {
                    prefill.post("/fault", """{"transfer_stall_ms":400}""")
                    assertEquals(200, decode.post(TEXT, decodeBody(transfer)).statusCode())
                }
            assertTrue(duration >= 400.milliseconds, "took $duration")
        }
    }

    @Test
    fun aCancelDuringTheTransferFreesTheMemory() {
        withEngines(prefillSettings.copy(linkBytesPerSecond = 1)) { prefill, decode ->
            val transfer = prefill.post(TEXT, """{"prompt":"a b c","max_tokens":1,$REMOTE_DECODE}""").transfer()
            val answer = decode.postLater(TEXT, decodeBody(transfer), ID, "r")
            awaitTrue { decode.json(RUNNING).text("pieces_held") == "1" }
            decode.post("/v1/cancel", """{"request_id":"r"}""")
            assertEquals("0", decode.json(RUNNING).text("pieces_held"))
            assertEquals("cancelled", answer.get().json().text("choices", "0", "finish_reason"))
        }
    }

    @Test
    fun anEngineTakesOnlyCallsOfItsRoleUntilItIsChanged() {
        withEngines(prefillSettings) { prefill, decode ->
            val plain = """{"prompt":"a","max_tokens":1}"""
            val remote = """{"prompt":"a","max_tokens":1,$REMOTE_DECODE}"""
            assertEquals(400, prefill.post(TEXT, plain).statusCode())
            assertEquals(400, decode.post(TEXT, remote).statusCode())
            assertEquals("prefill", decode.post("/v1/role", """{"role":"prefill","fencing":3}""").json().text("role"))
            assertEquals(200, decode.post(TEXT, remote).statusCode())
        }
    }

    private fun decodeBody(transfer: JsonObject) =
        """{"prompt":"a b c","max_tokens":2,"kv_transfer_params":$transfer}"""

    private fun withEngines(settings: EngineSettings, check: (prefill: TestClient, decode: TestClient) -> Unit) {
        EngineStandIn.start(settings = settings).use { prefill ->
            EngineStandIn.start(settings = decodeSettings).use { decode ->
                check(TestClient(prefill.port), TestClient(decode.port))
            }
        }
    }

    private class LossRow(
        val name: String,
        val settings: EngineSettings,
        val status: Int,
        val change: Map<String, JsonPrimitive> = emptyMap(),
        val meanwhile: (prefill: TestClient) -> Unit = {},
    )
}
