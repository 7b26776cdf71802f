package org.lovageladder.standin

import kotlinx.serialization.json.jsonArray
import kotlin.test.Test
import kotlin.test.assertEquals

class OrdersTest {
    @Test
    fun ordersWithOutdatedFencingNumbersAreRefusedUnlessIgnored() {
        val cases = listOf(
            FencingCase(
                ignoreFencing = false,
                fencingNumbers = listOf("3", "3", "2", "4"),
                statuses = listOf(200, 200, 409, 200),
            ),
            FencingCase(ignoreFencing = true, fencingNumbers = listOf("3", "2"), statuses = listOf(200, 200)),
            FencingCase(ignoreFencing = false, fencingNumbers = listOf("three"), statuses = listOf(400)),
        )
        for (case in cases) {
            withEngine(EngineSettings(ignoreFencing = case.ignoreFencing)) { client ->
                val order = """{"request_id":"none"}"""
                val statuses = case.fencingNumbers.map {
                    client.post("/v1/cancel", order, FencingCheck.HEADER, it).statusCode()
                }
                assertEquals(case.statuses, statuses, "$case")
            }
            withPlain(PlainSettings(ignoreFencing = case.ignoreFencing)) { client ->
                val statuses = case.fencingNumbers.map {
                    client.post("/act", "{}", FencingCheck.HEADER, it).statusCode()
                }
                assertEquals(case.statuses, statuses, "$case")
                val executed = case.statuses.count { it == 200 }.toString()
                assertEquals(executed, client.json("/executions").text("total"))
            }
        }
    }

    @Test
    fun adaptersAndModelsAreLoadedAndListed() {
        val adapterBody = """{"lora_name":"drill","lora_path":"/weights/drill"}"""
        val cases = listOf(
            LoadCase("/v1/load_lora_adapter", adapterBody, 200, listOf("base", "drill")),
            LoadCase("/v1/load_lora_adapter", adapterBody, 400, listOf("base", "drill")),
            LoadCase("/v1/load_model", """{"model":"next","version":"2"}""", 200, listOf("base", "next", "drill")),
            LoadCase("/v1/unload_lora_adapter", """{"lora_name":"drill"}""", 200, listOf("base", "next")),
            LoadCase("/v1/unload_lora_adapter", """{"lora_name":"drill"}""", 404, listOf("base", "next")),
        )
        withEngine(EngineSettings(model = "base")) { client ->
            for (case in cases) {
                assertEquals(case.status, client.post(case.path, case.body).statusCode(), "$case")
                assertEquals(case.models, client.json("/v1/models").at("data").jsonArray.map { it.text("id") }, "$case")
            }
        }
    }

    private data class FencingCase(
        val ignoreFencing: Boolean,
        val fencingNumbers: List<String>,
        val statuses: List<Int>,
    )

    private data class LoadCase(val path: String, val body: String, val status: Int, val models: List<String>)
}
