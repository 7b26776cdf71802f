package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Figures recorded when a stream ends. */
class StreamSummaryTest {
    @Test
    fun eventsSplitAcrossBuffersAreCounted() {
        data class Case(val parts: List<String>, val events: Int)
        listOf(
            Case(listOf("id: 1\ndata: a\n\n"), 1),
            Case(listOf("id: 1\ndata: a\n", "\nid: 2\ndata: b\n\n"), 2),
            Case(listOf("id: 1\r\ndata: a\r\n\r", "\n"), 1),
            Case(listOf("id: 1\ndata: a\n"), 0),
            Case(emptyList(), 0),
        ).forEach { case ->
            val eventCounter = StreamEventCounter()
            case.parts.forEach { eventCounter.add(it.encodeToByteArray()) }
            assertEquals(case.events, eventCounter.count, "$case")
        }
    }

    @Test
    fun endEventContainsWhatTheStreamRequestedAndUsed() {
        val fixture = ForwardFixture()
        fixture.submit("/stream/1", callerTimeout = 10.seconds)
        fixture.scheduler.advance(150.milliseconds)
        val call = fixture.upstreams.receivedCalls.single()
        call.head(200)
        call.content("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        fixture.upstreams.finish(call)
        val detail = fixture.events.last { it.kind == EventKind.REQUEST_ENDED }.detail.orEmpty()
        val origin = "status=200 ${call.place} identifier=own signed=true"
        val sizes =
            listOf("wait=10000ms", "prompt=3000", "expected=1000", "events=2", "held=0", "waiting=0", "waited=1ms")
        (sizes + origin + "sent=")
            .forEach { assertTrue(it in detail, "$it in: $detail") }
    }
}
