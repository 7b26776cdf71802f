package org.lovageladder.client

import org.lovageladder.core.EventKind
import org.lovageladder.core.HybridTime
import kotlin.test.Test
import kotlin.test.assertEquals

class TimelineTest {
    @Test
    fun eventsOfAllProcessesAreMergedByHybridTime() {
        val entry = listOf(
            event(1000, 0, "entry-1", EventKind.REQUEST_ACCEPTED),
            event(1000, 3, "entry-1", EventKind.REQUEST_FINISHED),
        )
        val companion = listOf(
            event(1000, 1, "companion-1", EventKind.DECODE_STARTED),
            event(1000, 2, "companion-1", EventKind.DECODE_FINISHED),
        )
        val merged = mergeEvents(listOf(companion, entry), emptyList())
        assertEquals(listOf(0, 1, 2, 3), merged.events.map { it.clock.counter })
        assertEquals("00:00:01.000", formatTime(HybridTime(1000, 0)))
        assertEquals("00:00:01.000+3", formatTime(HybridTime(1000, 3)))
    }

    private data class ExplanationCase(val kinds: List<EventKind>, val conclusion: String)

    @Test
    fun anExplanationDescribesTheRouteAndTheEnd() {
        val cases = listOf(
            ExplanationCase(
                listOf(EventKind.REQUEST_ACCEPTED, EventKind.PREFILL_STARTED, EventKind.DECODE_STARTED),
                "The time lines show no end: it may still be running, or the time line of its entry was not read. " +
                    "Route: prefill on u, decode on u.",
            ),
            ExplanationCase(listOf(EventKind.REQUEST_ACCEPTED, EventKind.REQUEST_REFUSED), "It was refused."),
            ExplanationCase(
                listOf(EventKind.CLAIM_STARTED, EventKind.ATTEMPT_RETRIED, EventKind.REQUEST_FINISHED),
                "It was answered completely. Route: started once on u, retries: 1.",
            ),
            ExplanationCase(listOf(EventKind.CALLER_LEFT), "Its caller disconnected, and its attempts were cancelled."),
        )
        for (case in cases) {
            val events = case.kinds.mapIndexed { index, kind -> event(1000, index, "entry-1", kind, "u") }
            val explanation = explain(Timeline(events, emptyList()))
            assertEquals(case.conclusion, explanation.conclusion)
            assertEquals(case.kinds.size, explanation.course.size)
        }
    }
}
