package org.lovageladder.core

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NoteTextTest {
    private val note = ReleaseNote(
        id = NoteId("first"),
        author = "operator",
        added = listOf(
            ReleaseEntry.Host(
                HostName("gate-1"),
                PlaceName("pecs-kozpont"),
                HostRole.COMPANION,
                peerAddress = Address("10.0.0.1", 7000),
                adminAddress = Address("10.0.0.1", 7001),
            ),
            ReleaseEntry.Pool(PoolName("prefill"), PoolRole.PREFILL),
            ReleaseEntry.RequestClass(
                ClassName("report"),
                ServiceName("jelentes-llm"),
                LatencyTarget.Stream(firstToken = 2.seconds, tokenGap = 150.milliseconds),
            ),
        ),
        withdrawn = listOf(EntryKey(EntryKind.POOL, "old")),
    )

    @Test
    fun writtenNotesAreReadBackEqual() {
        assertEquals(note, readReleaseNote(writeReleaseNote(note)).unwrap())
        val accepted = AcceptedNote(ReleaseVersion(7), note)
        assertEquals(accepted, readAcceptedNote(writeAcceptedNote(accepted)).unwrap())
    }

    @Test
    fun storedNotesIgnoreUnknownFieldsAndReportOtherFaultsByField() {
        val newerVersion = """{"version": 3, "note": {"id": "a", "reason": "new"}, "stamp": 1}"""
        assertEquals(AcceptedNote(ReleaseVersion(3), ReleaseNote(NoteId("a"))), readAcceptedNote(newerVersion).unwrap())
        val wrongType = """{"version": "three", "note": {"id": "a"}}"""
        assertEquals(listOf("version"), readAcceptedNote(wrongType).getError()?.map { it.field })
    }

    @Test
    fun anAcceptedNoteIsWrittenOnOneLine() {
        assertEquals(1, writeAcceptedNote(AcceptedNote(ReleaseVersion(7), note)).lines().size)
    }

    private data class ReportedFault(val field: String, val line: Int?)

    private data class ParseCase(val name: String, val text: String, val faults: List<ReportedFault>) {
        constructor(
            name: String,
            text: String,
            field: String,
            line: Int?,
        ) : this(name, text, listOf(ReportedFault(field, line)))
    }

    private fun pool(members: String) = "{\n\"id\": \"a\",\n\"added\": [\n{\"type\": \"pool\",\n$members\n}]\n}"

    private fun requestClass(members: String) =
        "{\"id\": \"a\", \"added\": [{\"type\": \"class\", \"name\": \"n\", \"service\": \"s\",\n$members\n}]}"

    private val cases = listOf(
        ParseCase("empty text", "", "", 1),
        ParseCase("cut off", "{\n\"id\": \"a\",\n", "", 2),
        ParseCase("missing comma", "{\n\"id\": \"a\"\n\"base\": 0\n}", "", 3),
        ParseCase("text after the end", "{\"id\": \"a\"}\n]", "", 2),
        ParseCase("not an object", "\n[]", "", 2),
        ParseCase("missing id", "{\n\"base\": 0\n}", "id", 1),
        ParseCase("unknown member", "{\"id\": \"a\",\n\"adds\": []}", "adds", 2),
        ParseCase("member twice", "{\"id\": \"a\",\n\"id\": \"b\"}", "id", 1),
        ParseCase("number as text", "{\"id\": \"a\",\n\"base\": \"0\"}", "base", 2),
        ParseCase("fraction as whole number", "{\"id\": \"a\",\n\"base\": 0.5}", "base", 2),
        ParseCase("text as number", "{\n\"id\": 5}", "id", 2),
        ParseCase("null", "{\n\"id\": null}", "id", 2),
        ParseCase("unquoted text", "{\n\"id\": abc}", "id", 2),
        ParseCase("object as list", "{\"id\": \"a\",\n\"added\": {}}", "added", 2),
        ParseCase("no type", "{\"id\": \"a\",\n\"added\": [\n{\"name\": \"p\"}]}", "added[0].type", 3),
        ParseCase("unknown type", "{\"id\": \"a\", \"added\": [\n{\"type\": \"pond\"}]}", "added[0].type", 2),
        ParseCase("unknown role", pool("\"name\": \"p\",\n\"role\": \"middle\""), "added[0].role", 6),
        ParseCase("missing role", pool("\"name\": \"p\""), "added[0].role", 4),
        ParseCase(
            "unknown and wrong",
            pool("\"name\": 1,\n\"rank\": 2, \"role\": \"plain\""),
            listOf(ReportedFault("added[0].rank", 6), ReportedFault("added[0].name", 5)),
        ),
        ParseCase(
            "duration not in ISO form",
            requestClass("\"target\": {\"type\": \"answer\",\n\"within\": \"2s\"}"),
            "added[0].target.within",
            3,
        ),
        ParseCase(
            "number that is not finite",
            requestClass("\"target\": {\"type\": \"answer\", \"within\": \"PT2S\"},\n\"worth\": 1e999"),
            "added[0].worth",
            3,
        ),
        ParseCase(
            "withdrawn kind",
            "{\"id\": \"a\",\n\"withdrawn\": [{\"kind\": \"x\", \"name\": \"y\"}]}",
            "withdrawn[0].kind",
            2,
        ),
        ParseCase("nested too deep", "{\"id\": \"a\", \"added\": " + "[".repeat(10_000), "", null),
        ParseCase("too large", "{\"id\": \"" + "a".repeat(MAXIMUM_NOTE_BYTES) + "\"}", "", null),
    )

    @Test
    fun structureFaultsNameFieldAndLine() {
        for (case in cases) {
            val faults = readReleaseNote(case.text).getError().orEmpty()
            assertEquals(case.faults, faults.map { ReportedFault(it.field, it.line) }, "${case.name}: $faults")
        }
    }

    @Test
    fun locateFindsTheLineOfAFault() {
        val text = writeReleaseNote(note)
        val poolLine = text.lines().indexOfFirst { it.contains("\"name\": \"prefill\"") } + 1
        val expectedLines = listOf(
            ReportedFault("added[1].name", poolLine),
            ReportedFault("added[1].absent", poolLine - 2),
            ReportedFault("nowhere", 1),
        )
        for ((field, line) in expectedLines) {
            assertEquals(line, locate(text, NoteFault(field, "is wrong")).line, field)
        }
    }
}
