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
        assertEquals("00:00:01.000", describeTime(HybridTime(1000, 0)))
        assertEquals("00:00:01.000+3", describeTime(HybridTime(1000, 3)))
    }

    private data class Course(val kinds: List<EventKind>, val conclusion: String)

    @Test
    fun anExplanationTellsTheRouteAndTheEnd() {
        val courses = listOf(
            Course(
                listOf(EventKind.REQUEST_ACCEPTED, EventKind.PREFILL_STARTED, EventKind.DECODE_STARTED),
                "The time lines show no end: it may still run, or its entry's time line was not read. " +
                    "Route: prefill on u, decode on u.",
            ),
            Course(listOf(EventKind.REQUEST_ACCEPTED, EventKind.REQUEST_REFUSED), "It was refused."),
            Course(
                listOf(EventKind.CLAIM_STARTED, EventKind.ATTEMPT_RETRIED, EventKind.REQUEST_FINISHED),
                "It got its whole answer. Route: started once on u, retries: 1.",
            ),
            Course(listOf(EventKind.CALLER_LEFT), "Its caller went away, and its work was cancelled."),
        )
        for (course in courses) {
            val events = course.kinds.mapIndexed { index, kind -> event(1000, index, "entry-1", kind, "u") }
            val explanation = explain(Timeline(events, emptyList()))
            assertEquals(course.conclusion, explanation.conclusion)
            assertEquals(course.kinds.size, explanation.course.size)
        }
    }
}
