package org.lovageladder.standin

import kotlinx.serialization.json.jsonArray
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlin.time.measureTime

class PlatformStandInsTest {
    private val firstHost = ListedHost("first", "pecs-kozpont", address = "127.0.0.1:9000")

    @Test
    fun hostListChangesAppearAfterTheLag() {
        val settings = HostListSettings(lag = 200.milliseconds, hosts = listOf(firstHost))
        HostListStandIn.start(settings = settings).use { list ->
            val client = TestClient(list.port)
            assertEquals(listOf("first live"), client.hosts())
            val steps = listOf(
                listOf("first live", "second live") to { client.post("/v1/hosts", host("second", "live")) },
                listOf("first live", "second leaving") to { client.post("/v1/hosts", host("second", "leaving")) },
                listOf("second leaving") to { client.delete("/v1/hosts/first") },
            )
            for ((expected, change) in steps) {
                val start = TimeSource.Monotonic.markNow()
                assertEquals(200, change().statusCode())
                awaitTrue { client.hosts() == expected }
                assertTrue(start.elapsedNow() >= settings.lag)
            }
            assertEquals("4", client.get("/v1/hosts").headers().firstValue("X-Version").get())
        }
    }

    @Test
    fun invalidHostsAreRefusedWithTheFieldName() {
        val cases = listOf(
            host("h", "asleep") to "state",
            host("", "live") to "name",
            host("h", "live").replace("127.0.0.1:1", "nowhere") to "address",
            """{"name":"h"}""" to "place",
            """{"name":"h","colour":"red"}""" to "colour",
        )
        HostListStandIn.start(settings = HostListSettings(lag = 1.hours)).use { list ->
            for ((body, field) in cases) {
                val refused = TestClient(list.port).post("/v1/hosts", body)
                assertEquals(400, refused.statusCode(), body)
                assertTrue(field in refused.json().text("error", "message"), refused.body())
            }
        }
    }

    @Test
    fun weightStoreCallersShareTheRate() {
        WeightStoreStandIn.start(settings = WeightStoreSettings(bytesPerSecond = 1_000_000)).use { store ->
            val path = "/weights/base?bytes=200000"
            val duration = measureTime {
                val calls = List(2) { java.util.concurrent.CompletableFuture.supplyAsync { fetch(store, path) } }
                assertEquals(listOf(200_000, 200_000), calls.map { it.get() })
            }
            assertTrue(duration >= 390.milliseconds, "took $duration")
            assertEquals(400, TestClient(store.port).get("/weights/base?bytes=many").statusCode())
        }
    }

    private fun fetch(store: WeightStoreStandIn, path: String) = TestClient(store.port).get(path).body().length

    private fun host(name: String, state: String) =
        """{"name":"$name","place":"bc-coast-a","state":"$state","address":"127.0.0.1:1"}"""

    private fun TestClient.hosts() =
        json("/v1/hosts").at("hosts").jsonArray.map { it.text("name") + " " + it.text("state") }
}
