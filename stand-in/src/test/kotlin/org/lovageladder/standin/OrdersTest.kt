package org.lovageladder.standin

import kotlinx.serialization.json.jsonArray
import kotlin.test.Test
import kotlin.test.assertEquals

class OrdersTest {
    @Test
    fun ordersWithOutdatedNumbersAreRefusedUnlessIgnored() {
        val rows =
            listOf(
                FencingRow(
                    ignores = false,
                    numbers = listOf("3", "3", "2", "4"),
                    statuses = listOf(200, 200, 409, 200),
                ),
                FencingRow(ignores = true, numbers = listOf("3", "2"), statuses = listOf(200, 200)),
                FencingRow(ignores = false, numbers = listOf("three"), statuses = listOf(400)),
            )
        for (row in rows) {
            EngineStandIn.start(settings = EngineSettings(ignoreFencing = row.ignores)).use { engine ->
                val client = TestClient(engine.port)
                val order = """{"request_id":"none"}"""
                val statuses = row.numbers.map { client.post("/v1/cancel", order, FencingGate.HEADER, it).statusCode() }
                assertEquals(row.statuses, statuses, "$row")
            }
            PlainStandIn.start(settings = PlainSettings(ignoreFencing = row.ignores)).use { plain ->
                val client = TestClient(plain.port)
                val statuses = row.numbers.map { client.post("/act", "{}", FencingGate.HEADER, it).statusCode() }
                assertEquals(row.statuses, statuses, "$row")
                val executed = row.statuses.count { it == 200 }.toString()
                assertEquals(executed, client.json("/executions").text("total"))
            }
        }
    }

    @Test
    fun adaptersAndModelsAreLoadedAndListed() {
        val load = """{"lora_name":"drill","lora_path":"/weights/drill"}"""
        val rows =
            listOf(
                LoadRow("/v1/load_lora_adapter", load, 200, listOf("base", "drill")),
                LoadRow("/v1/load_lora_adapter", load, 400, listOf("base", "drill")),
                LoadRow("/v1/load_model", """{"model":"next","version":"2"}""", 200, listOf("base", "next", "drill")),
                LoadRow("/v1/unload_lora_adapter", """{"lora_name":"drill"}""", 200, listOf("base", "next")),
                LoadRow("/v1/unload_lora_adapter", """{"lora_name":"drill"}""", 404, listOf("base", "next")),
            )
        EngineStandIn.start(settings = EngineSettings(model = "base")).use { engine ->
            val client = TestClient(engine.port)
            for (row in rows) {
                assertEquals(row.status, client.post(row.path, row.body).statusCode(), "$row")
                assertEquals(row.listed, client.json("/v1/models").at("data").jsonArray.map { it.text("id") }, "$row")
            }
        }
    }

    private data class FencingRow(val ignores: Boolean, val numbers: List<String>, val statuses: List<Int>)

    private data class LoadRow(val path: String, val body: String, val status: Int, val listed: List<String>)
}
