package org.lovageladder.core.forward

import kotlin.test.Test
import kotlin.test.assertEquals

/** Event streams as they arrive, in parts: what is passed on, and after which id another upstream goes on. */
class StreamEventSplitterTest {
    private data class Case(val parts: List<String>, val passedOn: String, val point: ResumePoint)

    private fun case(vararg parts: String, passedOn: String = parts.joinToString(""), point: ResumePoint) =
        Case(parts.toList(), passedOn, point)

    private fun after(id: String) = ResumePoint.After(EventId(id))

    private val boundaries =
        listOf(
            case("id: 1\ndata: a\n\n", point = after("1")),
            case("id: 1\r\ndata: a\r\n\r\nid: 2\r\n", passedOn = "id: 1\r\ndata: a\r\n\r\n", point = after("1")),
            case("data: a\n\nid: 9\ndata: b\n\nid: 10", passedOn = "data: a\n\nid: 9\ndata: b\n\n", point = after("9")),
            case("id: 1\ndata: a\n", passedOn = "", point = ResumePoint.Start),
            case("", point = ResumePoint.Start),
        )

    private val lineEnds =
        listOf(
            case("id: 1\rdata: a\r\r", point = after("1")),
            case("id: 1\rdata: a\r\rid: 2\r", passedOn = "id: 1\rdata: a\r\r", point = after("1")),
            case(
                "id: 1\r\ndata: a\r",
                "\n\r",
                "\nid: 2\r\n",
                passedOn = "id: 1\r\ndata: a\r\n\r\n",
                point = after("1"),
            ),
            case("id: 1\r\ndata: a\r\n\r", passedOn = "", point = after("1")),
            case("id: 1\ndata: a\n", "\n", "id: 2\ndata: b\n\n", point = after("2")),
            case("id: 1\u000Bdata: a\n\n", point = ResumePoint.Unknown),
            case("id: 1\ndata: a\u000C\u0085\u2028id: 5\n\n", point = after("1")),
        )

    private val ids =
        listOf(
            case("id:1\ndata: a\n\n", point = after("1")),
            case("id:  1\ndata: a\n\n", point = after(" 1")),
            case("id: 1\nid: 2\ndata: a\n\n", point = after("2")),
            case("id: 1\ndata: a\n\nid: 2\n\n", point = after("2")),
            case("id: 1\ndata: a\n\n: a comment\n\n", point = after("1")),
            case("id: 1\ndata: a\n\ndata: b\n\n", point = ResumePoint.Unknown),
            case("id: 1\ndata: a\n\nid\ndata: b\n\n", point = ResumePoint.Unknown),
            case("id: 1\ndata: a\n\nid:\n\n", point = ResumePoint.Unknown),
            case("id: 1\u00002\ndata: a\n\n", point = ResumePoint.Unknown),
            case("id: ${"9".repeat(600)}\ndata: a\n\n", point = ResumePoint.Unknown),
            case("data: a\n id: 1\n\n", point = ResumePoint.Unknown),
            case("Id: 1\nidentifier: 2\nid : 3\ndata: a\n\n", point = ResumePoint.Unknown),
            case("id: 007\ndata: a\n\n", point = after("007")),
            case("id: -1\ndata: a\n\n", point = after("-1")),
            case("id: \u0663\ndata: a\n\n", point = after("\u00D9\u00A3")),
            case("weight-versions: 4\nid: 8\ndata: a\n\n", point = after("8")),
            case("\uFEFFid: 1\ndata: a\n\n", point = after("1")),
            case("id: 1\ndata: a\n\n\uFEFFid: 2\ndata: b\n\n", point = ResumePoint.Unknown),
        )

    @Test
    fun streamIsPassedOnEventByEvent() = (boundaries + lineEnds + ids).forEach { check(it, it.parts) }

    /** Guards against lines and ids that are read otherwise when they are cut between two reads. */
    @Test
    fun streamIsReadInTheSameWayByteByByte() = (boundaries + lineEnds + ids).forEach { case ->
        val bytes = case.parts.joinToString("").encodeToByteArray()
        check(case, bytes.map { String(byteArrayOf(it), Charsets.ISO_8859_1) }, Charsets.ISO_8859_1)
    }

    /** An id counts for the caller only once its whole event was passed on. */
    @Test
    fun nextUpstreamGoesOnBehindTheEventsThatWerePassedOn() {
        val splitter = StreamEventSplitter(after("3"))
        splitter.append("id: 4\ndata: a\n\nid: 5\nda".encodeToByteArray())
        splitter.discardIncomplete()
        assertEquals(after("4"), splitter.resumePoint)
        assertEquals("id: 5\ndata: b\n\n", splitter.append("id: 5\ndata: b\n\n".encodeToByteArray())?.decodeToString())
        assertEquals(after("5"), splitter.resumePoint)
    }

    private fun check(case: Case, parts: List<String>, charset: java.nio.charset.Charset = Charsets.UTF_8) {
        val splitter = StreamEventSplitter()
        val passedOn = parts.mapNotNull { splitter.append(it.toByteArray(charset)) }
        val text = passedOn.fold(ByteArray(0), ByteArray::plus).decodeToString()
        assertEquals(case.passedOn, text, "$case")
        assertEquals(case.point, splitter.resumePoint, "$case")
    }
}
