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
    fun decodeAfterFetchProducesTheSameTokens() {
        withEngines(prefillSettings) { prefill, decode ->
            val transfer = prefill.post(COMPLETIONS, """{"prompt":"a b c","max_tokens":1,$REMOTE_DECODE}""").transfer()
            assertEquals("true", transfer.text("do_remote_prefill"))
            val answer = decode.post(COMPLETIONS, decodeBody(transfer)).json()
            val withoutFetch = decode.post(COMPLETIONS, """{"prompt":"a b c","max_tokens":2}""").json()
            assertEquals(withoutFetch.text("choices", "0", "text"), answer.text("choices", "0", "text"))
            assertEquals("3", prefill.json("/stats").text("prefill_tokens_total"))
            assertEquals("3", decode.json("/stats").text("prefill_tokens_total"))
        }
    }

    @Test
    fun decodeResumesFromPrefillOfPromptAndEarlierTokens() {
        withEngines(prefillSettings) { prefill, decode ->
            val resumeFields = """"resume_from":1,$REMOTE_DECODE"""
            val first = prefill.post(COMPLETIONS, """{"prompt":"a b c","max_tokens":1,$resumeFields}""")
            assertEquals("4", prefill.json("/stats").text("prefill_tokens_total"))
            val complete = decode.post(COMPLETIONS, """{"prompt":"a b c","max_tokens":2}""").json()
            val body = decodeBody(first.transfer()).dropLast(1) + ""","resume_from":1}"""
            val rest = decode.post(COMPLETIONS, body).json().text("choices", "0", "text")
            assertEquals(complete.text("choices", "0", "text").substringAfter(" "), rest)
        }
    }

    @Test
    fun failedFetchFailsTheDecodeAndFreesItsMemory() {
        val unknown = JsonPrimitive("lost")
        val cases = listOf(
            FetchFailureCase("expired before the transfer", prefillSettings.copy(keepTime = 1.milliseconds), 410) {
                awaitTrue { it.json("/stats").text("prefills_expired") == "1" }
            },
            FetchFailureCase(
                "expired during the transfer",
                prefillSettings.copy(keepTime = 200.milliseconds, linkBytesPerSecond = 1),
                410,
            ),
            FetchFailureCase(
                "unknown name",
                prefillSettings,
                410,
                parameterOverrides = mapOf("remote_request_id" to unknown),
            ),
            FetchFailureCase(
                "different engine at the address",
                prefillSettings,
                410,
                parameterOverrides = mapOf("remote_engine_id" to unknown),
            ),
            FetchFailureCase(
                "no engine at the address",
                prefillSettings,
                502,
                parameterOverrides = mapOf("remote_port" to JsonPrimitive(1)),
            ),
        )
        for (case in cases) {
            withEngines(case.settings) { prefill, decode ->
                val transfer = prefill.post(
                    COMPLETIONS,
                    """{"prompt":"a b c","max_tokens":1,$REMOTE_DECODE}""",
                ).transfer()
                case.beforeDecode(prefill)
                val answer = decode.post(COMPLETIONS, decodeBody(JsonObject(transfer + case.parameterOverrides)))
                assertEquals(case.status, answer.statusCode(), case.name)
                assertEquals("0", decode.json(RUNNING_CALLS).text("pieces_held"), case.name)
            }
        }
    }

    @Test
    fun stalledTransferCompletesAfterTheStall() {
        withEngines(prefillSettings) { prefill, decode ->
            val transfer = prefill.post(COMPLETIONS, """{"prompt":"a b c","max_tokens":1,$REMOTE_DECODE}""").transfer()
            val duration = measureTime {
                prefill.post("/fault", """{"transfer_stall_ms":400}""")
                assertEquals(200, decode.post(COMPLETIONS, decodeBody(transfer)).statusCode())
            }
            assertTrue(duration >= 400.milliseconds, "took $duration")
        }
    }

    @Test
    fun cancelDuringTransferFreesMemory() {
        withEngines(prefillSettings.copy(linkBytesPerSecond = 1)) { prefill, decode ->
            val transfer = prefill.post(COMPLETIONS, """{"prompt":"a b c","max_tokens":1,$REMOTE_DECODE}""").transfer()
            val answer = decode.postAsync(COMPLETIONS, decodeBody(transfer), REQUEST_ID, "r")
            awaitTrue { decode.json(RUNNING_CALLS).text("pieces_held") == "1" }
            decode.post("/v1/cancel", """{"request_id":"r"}""")
            assertEquals("0", decode.json(RUNNING_CALLS).text("pieces_held"))
            assertEquals("cancelled", answer.get().json().text("choices", "0", "finish_reason"))
        }
    }

    @Test
    fun engineAcceptsOnlyCallsOfItsCurrentRole() {
        withEngines(prefillSettings) { prefill, decode ->
            val plain = """{"prompt":"a","max_tokens":1}"""
            val remote = """{"prompt":"a","max_tokens":1,$REMOTE_DECODE}"""
            assertEquals(400, prefill.post(COMPLETIONS, plain).statusCode())
            assertEquals(400, decode.post(COMPLETIONS, remote).statusCode())
            assertEquals("prefill", decode.post("/v1/role", """{"role":"prefill","fencing":3}""").json().text("role"))
            assertEquals(200, decode.post(COMPLETIONS, remote).statusCode())
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

    private class FetchFailureCase(
        val name: String,
        val settings: EngineSettings,
        val status: Int,
        val parameterOverrides: Map<String, JsonPrimitive> = emptyMap(),
        val beforeDecode: (prefill: TestClient) -> Unit = {},
    )
}
