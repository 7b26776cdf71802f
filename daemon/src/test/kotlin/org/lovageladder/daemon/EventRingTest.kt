package org.lovageladder.daemon

import org.lovageladder.core.EventKind
import org.lovageladder.core.EventRecord
import org.lovageladder.core.HybridTime
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import org.lovageladder.http.EventFilter
import kotlin.test.Test
import kotlin.test.assertEquals

class EventRingTest {
    private val ring = EventRing(capacity = 3)

    private fun record(time: Long, request: String? = null, upstream: String? = null, note: Long? = null) = EventRecord(
        clock = HybridTime(time, 0),
        process = ProcessName("entry-1"),
        kind = EventKind.UPSTREAM_CHOSEN,
        request = request?.let(::RequestId),
        upstream = upstream?.let(::UpstreamName),
        note = note?.let(::ReleaseVersion),
        detail = "a \"quoted\"\ndetail",
    )

    @Test
    fun selectReturnsTheNewestMatchingEventsInOrderOfTime() {
        ring.add(record(1, request = "dropped"))
        ring.add(record(2, request = "r-1", upstream = "u-1"))
        ring.add(record(3, request = "r-2", note = 5))
        ring.add(record(4, request = "r-1", upstream = "u-2"))
        val cases = listOf(
            EventFilter() to listOf(2L, 3L, 4L),
            EventFilter(request = RequestId("r-1")) to listOf(2L, 4L),
            EventFilter(request = RequestId("dropped")) to emptyList(),
            EventFilter(upstream = UpstreamName("u-2")) to listOf(4L),
            EventFilter(note = ReleaseVersion(5)) to listOf(3L),
            EventFilter(afterMilliseconds = 2) to listOf(3L, 4L),
            EventFilter(limit = 2) to listOf(3L, 4L),
        )
        cases.forEach { (filter, times) ->
            assertEquals(times, ring.select(filter).map { it.clock.milliseconds }, "$filter")
        }
        assertEquals(listOf(2L, 4L), ring.of(RequestId("r-1")).map { it.clock.milliseconds })
    }

    @Test
    fun logLineContainsCodeAndFieldsOfTheEvent() {
        val expected = "LL-2101 An upstream was chosen for an attempt. kind=UPSTREAM_CHOSEN process=entry-1 " +
            "request=r-1 upstream=u-1 note=2 detail=\"a 'quoted' detail\""
        assertEquals(expected, eventLine(record(1, request = "r-1", upstream = "u-1", note = 2)))
    }
}
