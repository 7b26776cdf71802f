package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Configuration versions, routes, retry budget and event splitting. */
class ForwarderTest {
    @Test
    fun olderConfigurationIsIgnored() {
        val fixture = ForwardFixture()
        fixture.forwarder.applyConfiguration(ForwardFixture.configuration(version = 7))
        fixture.forwarder.applyConfiguration(ForwardFixture.configuration(version = 5))
        assertEquals(ReleaseVersion(7), fixture.forwarder.configurationVersion)
    }

    @Test
    fun requestBeforeTheFirstConfigurationIsRefusedAsNotReady() {
        val scheduler = VirtualScheduler()
        val settings = ForwarderSettings(ProcessName("entry"), ForwardFixture.HOME, RetryLimits(0.2, 8.0, 10.seconds))
        val forwarder = Forwarder(settings, FakeUpstreams(scheduler), scheduler, log = {})
        val reply = RecordingReply()
        val request = ForwardFixture.request(RequestId("1"), "/lookup/1", Moment(0), callerTimeout = null)
        assertNull(forwarder.forward(request, reply))
        assertEquals(RefusalReason.NOT_READY, reply.refusal?.reason)
    }

    @Test
    fun refusalForLackOfMemoryNamesItsInputsAndWhenToReturn() {
        val scheduler = VirtualScheduler()
        val settings = ForwarderSettings(ProcessName("entry"), ForwardFixture.HOME, RetryLimits(0.2, 8.0, 10.seconds))
        val events = ArrayList<EventDraft>()
        val forwarder = Forwarder(settings, FakeUpstreams(scheduler), scheduler, log = { events += it })
        val reply = RecordingReply()
        val request = ForwardFixture.request(RequestId("1"), "/lookup/1", Moment(0), callerTimeout = 3.seconds)
        forwarder.refuse(request, reply, RequestMemory(requestBytes = 4_000, heldBytes = 700, maximumBytes = 1_000))
        assertEquals(RefusalReason.MEMORY_FULL, reply.refusal?.reason)
        assertTrue(assertNotNull(reply.refusal?.retryAfter) in 200.milliseconds..1.seconds)
        val event = events.single()
        assertEquals(EventKind.REQUEST_ENDED to RequestId("1"), event.kind to event.request)
        assertEquals("refused: MEMORY_FULL desk.example/lookup/1 bytes=4000 held=700 limit=1000", event.detail)
    }

    @Test
    fun routeWithTheLongestMatchingPrefixIsFound() {
        val base = ForwardFixture.configuration()
        val inner = base.routes.first().copy(name = "inner", prefix = "/lookup/inner/")
        val table = RouteTable(base.copy(routes = base.routes + inner))
        val cases =
            mapOf(
                ("desk.example" to "/lookup/1") to "/lookup/",
                ("desk.example" to "/lookup/inner/1?x=/action/") to "inner",
                ("DESK.example:8080" to "/action/") to "/action/",
                ("desk.example" to "/lookup") to null,
                ("other.example" to "/lookup/1") to null,
            )
        cases.forEach { (request, route) ->
            assertEquals(route, table.find(request.first, request.second)?.name, "$request")
        }
    }

    @Test
    fun sharesAreSelectedByWeight() {
        val shares = listOf(ServiceShare(ForwardFixture.PLAIN, 90), ServiceShare(ForwardFixture.ENGINES, 10))
        val selected = (0 until 100).map { selectShare(shares, it / 100.0)?.service }
        assertEquals(90, selected.count { it == ForwardFixture.PLAIN })
    }
}
