package org.lovageladder.standin

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import java.io.BufferedReader
import java.util.Base64
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

class KeyValueStandInTest {
    @Test
    fun rangesAreOrderedByKeyBytes() {
        val cases = listOf(
            RangeCase(""""key":"${base64("a")}"""", listOf("a")),
            RangeCase(""""key":"${base64("absent")}"""", emptyList()),
            RangeCase(""""key":"${base64("a")}","range_end":"${base64("b")}"""", listOf("a", "a/1", "a/2")),
            RangeCase(""""key":"${base64("a/")}","rangeEnd":"${base64("a0")}","limit":"1"""", listOf("a/1")),
            RangeCase(""""key":"${base64("a/2")}","range_end":"AA=="""", listOf("a/2", "b", "é")),
            RangeCase(""""key":"${base64("c")}","range_end":"${base64("b")}"""", emptyList()),
            RangeCase(""""key":"AA==","range_end":"AA==","revision":"3"""", listOf("a/1", "é")),
        )
        withService { service ->
            listOf("é", "a/1", "b", "a", "a/2").forEach { service.put(it, "v") }
            for (case in cases) {
                assertEquals(case.keys, service.range(case.request).keys(), case.request)
            }
            assertEquals("6", service.range(""""key":"AA==","range_end":"AA=="""").text("header", "revision"))
        }
    }

    @Test
    fun deleteResetsTheVersionOfAKey() {
        withService { service ->
            service.put("k", "1")
            service.put("k", "2")
            val entry = service.range(""""key":"${base64("k")}"""").at("kvs", "0")
            assertEquals(listOf("2", "3", "2"), entry.versions())
            val deleted = service.post("/v3/kv/deleterange", """{"key":"${base64("k")}","prev_kv":true}""").json()
            assertEquals("1", deleted.text("deleted"))
            assertEquals("2", decoded(deleted.text("prev_kvs", "0", "value")))
            service.put("k", "3")
            assertEquals(listOf("5", "5", "1"), service.range(""""key":"${base64("k")}"""").at("kvs", "0").versions())
        }
    }

    @Test
    fun transactionsRunTheOperationsThatTheirComparisonsSelect() {
        val cases = listOf(
            CompareCase(""""target":"CREATE","result":"EQUAL","createRevision":"0"""", "absent", true),
            CompareCase(""""target":"CREATE","result":"EQUAL","create_revision":0""", "k", false),
            CompareCase(""""target":"MOD","result":"EQUAL","mod_revision":"3"""", "k", true),
            CompareCase(""""target":"MOD","result":"LESS","mod_revision":"3"""", "k", false),
            CompareCase(""""target":"VERSION","result":"GREATER","version":"1"""", "k", true),
            CompareCase(""""target":"VERSION","result":"NOT_EQUAL","version":"2"""", "k", false),
            CompareCase(""""target":"VALUE","result":"EQUAL","value":"${base64("2")}"""", "k", true),
            CompareCase(""""target":"VALUE","result":"NOT_EQUAL","value":"${base64("2")}"""", "absent", false),
        )
        for (case in cases) {
            withService { service ->
                service.put("k", "1")
                service.put("k", "2")
                val answer = service.transact(case.compare, case.key)
                val succeeded = answer.jsonObject["succeeded"] != null
                assertEquals(case.expectedSuccess, succeeded, "$case")
                assertEquals(if (succeeded) "4" else "3", answer.text("header", "revision"))
                val response = if (succeeded) "response_put" else "response_range"
                answer.at("responses", "0", response)
            }
        }
    }

    @Test
    fun invalidCallsAreRefused() {
        val tooLarge = base64("x".repeat(1024 * 1024 + 1))
        val put = """{"request_put":{"key":"aw==","value":"dg=="}}"""
        val cases = listOf(
            InvalidRequestCase("/v3/kv/put", """{"key":"aw==","value":"$tooLarge"}""", 400, "too large"),
            InvalidRequestCase("/v3/kv/put", """{"value":"dg=="}""", 400, "key is not provided"),
            InvalidRequestCase("/v3/kv/put", """{"key":"aw==","lease":"7"}""", 404, "lease not found"),
            InvalidRequestCase("/v3/kv/put", """{"key":"no base64!"}""", 400, "key"),
            InvalidRequestCase("/v3/kv/range", """{"key":"aw==","revision":"99"}""", 400, "future revision"),
            InvalidRequestCase("/v3/kv/range", """{"key":"aw==","limit":"many"}""", 400, "limit"),
            InvalidRequestCase("/v3/kv/txn", """{"success":[$put,$put]}""", 400, "duplicate key"),
            InvalidRequestCase("/v3/lease/grant", "{}", 400, "TTL"),
            InvalidRequestCase("/v3/lease/revoke", """{"ID":"5"}""", 404, "lease not found"),
            InvalidRequestCase("/fault", """{"slow_ms":5}""", 400, "for_ms"),
            InvalidRequestCase("/v3/none", "{}", 404, "/v3/none"),
        )
        withService { service ->
            for (case in cases) {
                val answer = service.post(case.path, case.body)
                assertEquals(case.status, answer.statusCode(), "${case.path} ${answer.body()}")
                assertTrue(case.expectedText in answer.body(), answer.body())
            }
        }
    }

    @Test
    fun watchSendsEveryChangeOfItsKeysFromItsStartRevision() {
        withService { service ->
            service.put("a", "1")
            service.put("b", "1")
            service.put("a", "2")
            service.watch(""""key":"${base64("a")}","start_revision":"3"""").use { watch ->
                assertEquals("true", watch.next().text("created"))
                assertEquals("PUT a 2", watch.nextEvent())
                service.post("/v3/kv/deleterange", """{"key":"${base64("a")}"}""")
                assertEquals("DELETE a ", watch.nextEvent())
                service.put("b", "2")
                service.put("a", "3")
                assertEquals("PUT a 3", watch.nextEvent())
            }
            awaitTrue { service.json("/stats").text("watches") == "0" }
        }
    }

    @Test
    fun keysAreDeletedWithTheirLease() {
        val cases = listOf(
            LeaseCase(timeToLiveSeconds = 600) { service, id -> service.post(REVOKE_PATH, """{"ID":"$id"}""") },
            LeaseCase(timeToLiveSeconds = 2) { _, _ -> },
        )
        for (case in cases) {
            withService { service ->
                val granted = service.post("/v3/lease/grant", """{"TTL":"${case.timeToLiveSeconds}"}""").json()
                val id = granted.text("ID")
                service.put("k", "v", lease = id)
                val extended = service.post("/v3/lease/keepalive", """{"ID":"$id"}""").json()
                assertEquals(granted.text("TTL"), extended.text("result", "TTL"))
                val timeToLive = service.post("/v3/lease/timetolive", """{"ID":"$id","keys":true}""").json()
                assertEquals(listOf("k"), timeToLive.at("keys").jsonArray.map { decoded(it.text()) })
                service.watch(""""key":"${base64("k")}"""").use { watch ->
                    assertEquals("true", watch.next().text("created"))
                    case.endLease(service, id)
                    assertEquals("DELETE k ", watch.nextEvent())
                }
                val expired = service.post("/v3/lease/keepalive", """{"ID":"$id"}""").json()
                assertNull(expired.at("result").jsonObject["TTL"])
                assertEquals("-1", service.post("/v3/lease/timetolive", """{"ID":"$id"}""").json().text("TTL"))
            }
        }
    }

    @Test
    fun outageAnswersNoCallAndLosesNoData() {
        withService { service ->
            service.put("k", "v")
            val watch = service.watch(""""key":"${base64("k")}"""")
            watch.next()
            service.post("/fault", """{"down_ms":600000}""")
            assertTrue(runCatching { checkNotNull(watch.readLine()) }.isFailure)
            assertTrue(runCatching { service.put("k", "lost") }.isFailure)
            service.post("/fault", """{"down_ms":0}""")
            val answer = service.range(""""key":"${base64("k")}"""")
            assertEquals("v", decoded(answer.text("kvs", "0", "value")))
        }
    }

    @Test
    fun writeWithLostAnswerTakesEffect() {
        withService { service ->
            service.post("/fault", """{"lose_answers":1}""")
            service.range(""""key":"${base64("k")}"""")
            assertTrue(runCatching { service.put("k", "v") }.isFailure)
            val found = service.range(""""key":"${base64("k")}"""")
            assertEquals("v", decoded(found.text("kvs", "0", "value")))
            service.put("k", "w")
        }
    }

    @Test
    fun readsReturnOldDataDuringTheFault() {
        withService { service ->
            listOf("1", "2", "3").forEach { service.put("k", it) }
            service.post("/fault", """{"old_data_revisions":2,"for_ms":60000}""")
            val old = service.range(""""key":"${base64("k")}"""")
            assertEquals("1", decoded(old.text("kvs", "0", "value")))
            assertEquals("2", old.text("header", "revision"))
            service.post("/fault", """{"old_data_revisions":0,"for_ms":0}""")
            assertEquals("3", decoded(service.range(""""key":"${base64("k")}"""").text("kvs", "0", "value")))
        }
    }

    @Test
    fun injectedSlownessDelaysAnswers() {
        withService { service ->
            service.post("/fault", """{"slow_ms":300,"for_ms":60000}""")
            assertTrue(measureTime { service.put("k", "v") } >= 300.milliseconds)
        }
    }

    @Test
    fun callsAboveTheRateLimitWait() {
        withService(KeyValueSettings(writesPerSecond = 20)) { service ->
            val duration = measureTime { repeat(7) { service.put("k", "v") } }
            assertTrue(duration >= 300.milliseconds, "took $duration")
        }
    }

    @Test
    fun callsAreCountedByKindAndOpenWatchesPerSecond() {
        withService { service ->
            service.put("k", "v")
            service.range(""""key":"${base64("k")}"""")
            service.transact(""""target":"MOD"""", "k")
            val stats = service.json("/stats")
            assertEquals(listOf("1", "1", "1"), listOf("put", "range", "txn").map { stats.text("calls", it) })
            assertEquals(listOf("2", "1"), listOf(stats.text("writes"), stats.text("reads")))
            service.watch(""""key":"${base64("k")}"""").use { watch ->
                watch.next()
                awaitTrue { service.json("/stats").text("calls", "watch").toInt() >= 3 }
            }
        }
    }

    private fun withService(settings: KeyValueSettings = KeyValueSettings(), check: (TestClient) -> Unit) {
        KeyValueStandIn.start(settings = settings).use { check(TestClient(it.port)) }
    }

    private fun TestClient.put(key: String, value: String, lease: String = "0"): JsonElement =
        post("/v3/kv/put", """{"key":"${base64(key)}","value":"${base64(value)}","lease":"$lease"}""").json()

    private fun TestClient.range(request: String): JsonElement = post("/v3/kv/range", "{$request}").json()

    private fun TestClient.transact(compare: String, key: String): JsonElement {
        val put = """{"requestPut":{"key":"${base64(key)}","value":"${base64("new")}"}}"""
        val range = """{"requestRange":{"key":"${base64(key)}"}}"""
        val comparison = """{$compare,"key":"${base64(key)}"}"""
        return post("/v3/kv/txn", """{"compare":[$comparison],"success":[$put],"failure":[$range]}""").json()
    }

    private fun TestClient.watch(request: String) = openStream("/v3/watch", """{"create_request":{$request}}""")

    private fun BufferedReader.next(): JsonElement = Json.parseToJsonElement(readLine()).at("result")

    private fun BufferedReader.nextEvent(): String {
        val event = next().at("events", "0").jsonObject
        val type = event["type"]?.text() ?: "PUT"
        val pair = event.getValue("kv").jsonObject
        return "$type ${decoded(pair.text("key"))} ${decoded(pair["value"]?.text().orEmpty())}"
    }

    private fun JsonElement.keys(): List<String> =
        jsonObject["kvs"]?.jsonArray.orEmpty().map { decoded(it.text("key")) }

    private fun JsonElement.versions() = listOf(text("create_revision"), text("mod_revision"), text("version"))

    private fun base64(text: String) = Base64.getEncoder().encodeToString(text.toByteArray())

    private fun decoded(text: String) = String(Base64.getDecoder().decode(text))

    private data class RangeCase(val request: String, val keys: List<String>)

    private data class CompareCase(val compare: String, val key: String, val expectedSuccess: Boolean)

    private data class InvalidRequestCase(val path: String, val body: String, val status: Int, val expectedText: String)

    private class LeaseCase(val timeToLiveSeconds: Int, val endLease: (TestClient, String) -> Unit)

    private companion object {
        const val REVOKE_PATH = "/v3/kv/lease/revoke"
    }
}
