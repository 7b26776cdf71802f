package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the log tells of a stream when it ends. */
class StreamAccountTest {
    @Test
    fun eventsAreCountedAcrossTheBytesThatCarryThem() {
        data class Case(val parts: List<String>, val events: Int)
        listOf(
            Case(listOf("id: 1\ndata: a\n\n"), 1),
            Case(listOf("id: 1\ndata: a\n", "\nid: 2\ndata: b\n\n"), 2),
            Case(listOf("id: 1\r\ndata: a\r\n\r", "\n"), 1),
            Case(listOf("id: 1\ndata: a\n"), 0),
            Case(emptyList(), 0),
        ).forEach { case ->
            val counter = EventCounter()
            case.parts.forEach { counter.add(it.encodeToByteArray()) }
            assertEquals(case.events, counter.events, "$case")
        }
    }

    @Test
    fun endOfAStreamTellsWhatItAskedForAndUsed() {
        val world = ForwardWorld()
        world.submit("/stream/1", wait = 10.seconds)
        world.scheduler.advance(150.milliseconds)
        val run = world.upstreams.runs.single()
        run.head(200)
        run.content("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
        world.upstreams.finish(run)
        val detail = world.events.last { it.kind == EventKind.REQUEST_ENDED }.detail.orEmpty()
        listOf("wait=10000ms", "prompt=3000", "expected=1000", "events=2", "held=0", "waiting=0", "waited=1ms")
            .forEach { assertTrue(it in detail, "$it in: $detail") }
    }
}
