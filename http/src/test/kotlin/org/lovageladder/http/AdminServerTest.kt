package org.lovageladder.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.lovageladder.core.Address
import org.lovageladder.core.EventKind
import org.lovageladder.core.EventRecord
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.HybridTime
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdminServerTest {
    private val admin = RecordingAdmin()
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val server = startAdminServer(Address("127.0.0.1", 0), admin, registry)
    private val client = openAdminClient(timeout = 10.seconds)

    @AfterTest
    fun stop() {
        client.close()
        server.close()
    }

    @Test
    fun routesAnswerWithExpectedStatusAndBody() {
        registry.counter("some.count").increment()
        val rows = listOf(
            RouteRow("GET", "/healthz", 200, "ok"),
            RouteRow("GET", "/readyz", 503, "not ready"),
            RouteRow("GET", "/metrics", 200, "some_count_total 1"),
            RouteRow("GET", "/v1/status", 200, "{\"a\":1}"),
            RouteRow("GET", "/v1/events?limit=0", 400, "\"field\":\"limit\""),
            RouteRow("GET", "/v1/events?limit=many", 400, "\"field\":\"limit\""),
            RouteRow("GET", "/v1/events?note=-1", 400, "\"field\":\"note\""),
            RouteRow("GET", "/v1/events?after=x", 400, "\"field\":\"after\""),
            RouteRow("GET", "/v1/events?when=1", 400, "\"field\":\"when\""),
            RouteRow("GET", "/v1/explain/", 400, "\"field\":\"request\""),
            RouteRow("GET", "/v1/drain", 405, "allowed is POST"),
            RouteRow("POST", "/v1/status", 405, "allowed is GET"),
            RouteRow("GET", "/v1/other", 404, "/v1/events"),
            RouteRow("POST", "/v1/drain", 202, "draining"),
        )
        CallerSocket(server.address).use { socket ->
            for (row in rows) {
                socket.send("${row.method} ${row.target} HTTP/1.1\r\nHost: a\r\n\r\n")
                val answer = socket.readAnswer()
                assertEquals(row.status, answer.status, "$row: $answer")
                assertTrue(row.text in answer.body, "$row: $answer")
            }
        }
        assertEquals(1, admin.drainCount)
    }

    @Test
    fun clientReadsStatusEventsAndReadiness() {
        val filters = listOf(
            EventFilter(),
            EventFilter(RequestId("a b/ő&="), UpstreamName("u"), ReleaseVersion(3), afterMilliseconds = 7, limit = 5),
        )
        for (filter in filters) {
            assertEquals(listOf(admin.event), client.events(server.address, filter).get())
            assertEquals(filter, admin.filters.removeLast())
        }
        val request = RequestId("a b/ő&=")
        assertEquals(listOf(admin.event.copy(request = request)), client.explain(server.address, request).get())
        assertEquals("{\"a\":1}", client.status(server.address).get())
        assertEquals(false, client.isReady(server.address).get())
        admin.reportsReady = true
        assertEquals(true, client.isReady(server.address).get())
        assertEquals(Unit, client.startDrain(server.address).get())
        assertEquals(1, admin.drainCount)
    }

    @Test
    fun clientReportsTheCauseOfAFault() {
        val rows = listOf(
            FaultRow(null, FaultCause.UNREACHABLE),
            FaultRow(PeerBehaviour.CloseOnAccept, FaultCause.CONNECTION_LOST),
            FaultRow(PeerBehaviour.NeverAnswer, FaultCause.TIMEOUT),
            FaultRow(PeerBehaviour.Send(FaultyPeer.answer(500, "")), FaultCause.REJECTED),
            FaultRow(PeerBehaviour.Send(FaultyPeer.answer(200, "nonsense")), FaultCause.PROTOCOL),
        )
        for (row in rows) {
            // A short timeout only for the silent peer; the other faults may be slow to appear on a busy machine.
            val timeout = if (row.cause == FaultCause.TIMEOUT) 300.milliseconds else 20.seconds
            openAdminClient(timeout = timeout).use { faultyClient ->
                val peer = row.behaviour?.let { FaultyPeer(it) }
                val address = peer?.address ?: FaultyPeer.unusedAddress()
                val failed: Result<*, Fault> = faultyClient.events(address)
                assertEquals(row.cause, failed.getError()?.cause, "$row")
                assertEquals(address.toString(), failed.getError()?.peer, "$row")
                peer?.close()
            }
        }
    }

    @Test
    fun slowHandlerDoesNotBlockOtherConnections() {
        admin.statusDelay = 30.seconds
        CallerSocket(server.address).use { slow ->
            slow.send("GET /v1/status HTTP/1.1\r\n\r\n")
            assertEquals(false, client.isReady(server.address).get())
        }
        admin.statusDelay = Duration.ZERO
    }

    @Test
    fun exceptionInHandlerIsAnsweredWith500() {
        admin.failure = IllegalStateException("broken")
        CallerSocket(server.address).use { socket ->
            socket.send("GET /v1/status HTTP/1.1\r\n\r\n")
            assertEquals(500, socket.readAnswer().status)
        }
    }

    private data class RouteRow(val method: String, val target: String, val status: Int, val text: String)

    private data class FaultRow(val behaviour: PeerBehaviour?, val cause: FaultCause)
}

private class RecordingAdmin : AdminHandler {
    val event = EventRecord(HybridTime(9, 1), ProcessName("entry-1"), EventKind.REQUEST_REFUSED, detail = "\"ő\"")
    val filters = ArrayDeque<EventFilter>()

    @Volatile
    var reportsReady = false

    @Volatile
    var drainCount = 0

    @Volatile
    var statusDelay: Duration = Duration.ZERO

    @Volatile
    var failure: RuntimeException? = null

    override fun isReady(): Boolean = reportsReady

    override fun statusJson(): String {
        failure?.let { throw it }
        val start = System.nanoTime()
        while (System.nanoTime() - start < statusDelay.inWholeNanoseconds) Thread.yield()
        return "{\"a\":1}"
    }

    override fun events(filter: EventFilter): List<EventRecord> {
        filters.add(filter)
        return listOf(event)
    }

    override fun explain(request: RequestId): List<EventRecord> = listOf(event.copy(request = request))

    override fun startDrain() {
        drainCount++
    }
}
