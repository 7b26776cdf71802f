package org.lovageladder.measure

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Tests the tables that are computed from logs of entries. */
internal class StreamTablesTest {
    private fun logLine(second: Int, detail: String, before: String = "") =
        before + """{"time":"2026-02-17T13:05:${"%02d".format(second)}.000Z","level":"INFO","message":""" +
            """"LL-3104 A request was answered. kind=REQUEST_ENDED detail=\"$detail\""}"""

    private fun endDetail(outcome: String, took: Int, waited: Int, first: Int?, events: Int) =
        "$outcome route=r1 sendings=1 first=${first}ms took=${took}ms waited=${waited}ms wait=13000ms prompt=5000 " +
            "bound=9000 expected=4000 reserved=10000 events=$events held=0 waiting=0 full=0"

    @Test
    fun endedStreamsAreParsedAndOtherLinesIgnored() {
        val lines = listOf(
            logLine(
                10,
                endDetail("answered", took = 4_000, waited = 20, first = 200, events = 40),
                before = "  1.2 front-1 ",
            ),
            logLine(10, endDetail("refused: OVERLOADED", took = 0, waited = 0, first = null, events = 0)),
            logLine(10, "answered 200 route=r2 tries=1 took=7ms"),
            logLine(10, endDetail("answered", took = 1, waited = 0, first = 1, events = 1)).dropLast(30),
            "no log at all",
        )
        val streams = parseEndedStreams(lines.asSequence())
        assertEquals(listOf("answered", "refused: OVERLOADED"), streams.map { it.outcome })
        assertEquals(40, streams.first().eventCount)
        assertEquals(10_000, streams.first().reservedTokens)
        assertNull(streams.last().firstEventMilliseconds)
    }

    @Test
    fun intervalsCountReservedAndUsedTokensAndRefusals() {
        val streams = parseEndedStreams(
            sequenceOf(
                logLine(14, endDetail("answered", took = 4_000, waited = 0, first = 0, events = 40)),
                logLine(15, endDetail("answered", took = 4_000, waited = 0, first = 0, events = 80)),
                logLine(12, endDetail("refused: OVERLOADED", took = 0, waited = 0, first = null, events = 0)),
                logLine(13, endDetail("refused: OVERLOADED", took = 600, waited = 600, first = null, events = 0)),
            ),
        )
        val intervals = intervalsOf(streams, lengthMilliseconds = 2_000)
        assertEquals(listOf(0L, 2_000L, 4_000L), intervals.map { it.startMilliseconds })
        assertEquals(listOf(2, 0, 0), intervals.map { it.answered })
        assertEquals(listOf(0, 1, 0), intervals.map { it.refusedImmediately })
        assertEquals(listOf(0, 1, 0), intervals.map { it.refusedLater })
        assertEquals(listOf(20_000L, 20_000L, 0L), intervals.map { it.reservedTokens })
        assertEquals(listOf(11_000L, 17_000L, 0L), intervals.map { it.usedTokens }, "an event is 100 tokens")
        assertEquals(1, routeSizes(streams).single().exceededReservation)
        assertContains(plotSvg(intervals), "<polyline")
    }

    @Test
    fun noStreamsGiveNoIntervals() {
        assertEquals(emptyList(), intervalsOf(emptyList(), lengthMilliseconds = 2_000))
        assertContains(plotSvg(emptyList()), "<svg")
    }
}
