package org.lovageladder.measure

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Tables from logs of entries. */
internal class StreamTablesTest {
    private fun line(second: Int, detail: String, before: String = "") =
        before + """{"time":"2026-02-17T13:05:${"%02d".format(second)}.000Z","level":"INFO","message":""" +
            """"LL-3104 A request was answered. kind=REQUEST_ENDED detail=\"$detail\""}"""

    private fun stream(outcome: String, took: Int, waited: Int, first: Int?, events: Int) =
        "$outcome route=r1 sendings=1 first=${first}ms took=${took}ms waited=${waited}ms wait=13000ms prompt=5000 " +
            "bound=9000 expected=4000 reserved=10000 events=$events held=0 waiting=0 full=0"

    @Test
    fun endsOfStreamsAreReadAndOtherLinesPassedOver() {
        val lines =
            listOf(
                line(
                    10,
                    stream("answered", took = 4_000, waited = 20, first = 200, events = 40),
                    before = "  1.2 front-1 ",
                ),
                line(10, stream("refused: OVERLOADED", took = 0, waited = 0, first = null, events = 0)),
                line(10, "answered 200 route=r2 tries=1 took=7ms"),
                line(10, stream("answered", took = 1, waited = 0, first = 1, events = 1)).dropLast(30),
                "no log at all",
            )
        val streams = endedStreams(lines.asSequence())
        assertEquals(listOf("answered", "refused: OVERLOADED"), streams.map { it.outcome })
        assertEquals(40, streams.first().events)
        assertEquals(10_000, streams.first().reserved)
        assertNull(streams.last().first)
    }

    @Test
    fun spansTellWhatWasReservedUsedAndRefused() {
        val streams =
            endedStreams(
                sequenceOf(
                    line(14, stream("answered", took = 4_000, waited = 0, first = 0, events = 40)),
                    line(15, stream("answered", took = 4_000, waited = 0, first = 0, events = 80)),
                    line(12, stream("refused: OVERLOADED", took = 0, waited = 0, first = null, events = 0)),
                    line(13, stream("refused: OVERLOADED", took = 600, waited = 600, first = null, events = 0)),
                ),
            )
        val spans = spans(streams, step = 2_000)
        assertEquals(listOf(0L, 2_000L, 4_000L), spans.map { it.from })
        assertEquals(listOf(2, 0, 0), spans.map { it.answered })
        assertEquals(listOf(0, 1, 0), spans.map { it.refusedAtOnce })
        assertEquals(listOf(0, 1, 0), spans.map { it.refusedLater })
        assertEquals(listOf(20_000L, 20_000L, 0L), spans.map { it.reservedTokens })
        assertEquals(listOf(11_000L, 17_000L, 0L), spans.map { it.usedTokens }, "an event is 100 tokens")
        assertEquals(1, sizes(streams).single().outgrown)
        assertContains(plot(spans), "<polyline")
    }

    @Test
    fun noStreamsGiveNoSpans() {
        assertEquals(emptyList(), spans(emptyList(), step = 2_000))
        assertContains(plot(emptyList()), "<svg")
    }
}
