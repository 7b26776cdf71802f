package org.lovageladder.core

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/*
 * Release notes as JSON: the files that operators write, and the values in the key-value service.
 */

/** Largest text of a note, in bytes of UTF-8: what the key-value service holds under one key. */
public const val NOTE_LIMIT_BYTES: Int = 1_000_000

/** Deepest nesting of a note's text; the note's own structure needs less. */
private const val NESTING_LIMIT = 16

private val noteJson = Json { prettyPrint = false }

private val readableNoteJson = Json {
    prettyPrint = true
    prettyPrintIndent = "  "
}

private val offsetPattern = Regex("""offset (\d+)""")

/** Reads an operator's note. On failure returns every fault of form, each with its field and line. */
public fun readReleaseNote(text: String): Result<ReleaseNote, List<NoteFault>> =
    readNoteText(text, ReleaseNote.serializer())

/** Reads a note as the key-value service holds it; fails as [readReleaseNote] does. */
public fun readAcceptedNote(text: String): Result<AcceptedNote, List<NoteFault>> =
    readNoteText(text, AcceptedNote.serializer())

/** Text of [note] for the key-value service, on one line. */
public fun writeAcceptedNote(note: AcceptedNote): String = noteJson.encodeToString(AcceptedNote.serializer(), note)

/** Text of [note] as an operator's file, indented. */
public fun writeReleaseNote(note: ReleaseNote): String = readableNoteJson.encodeToString(ReleaseNote.serializer(), note)

/**
 * Returns [fault] with the line in [text] of its field, or of the nearest object around it when the field is
 * absent. A fault that has a line is returned as it is.
 */
public fun locate(text: String, fault: NoteFault): NoteFault =
    if (fault.line != null) fault else fault.copy(line = scanJsonPositions(text).line(fault.field))

private fun <T> readNoteText(text: String, serializer: KSerializer<T>): Result<T, List<NoteFault>> {
    val size = text.toByteArray().size
    if (size > NOTE_LIMIT_BYTES) {
        return Err(listOf(NoteFault("", "is $size bytes long; allowed: at most $NOTE_LIMIT_BYTES")))
    }
    val positions = scanJsonPositions(text)
    if (positions.depth > NESTING_LIMIT) {
        return Err(listOf(NoteFault("", "is nested ${positions.depth} deep; allowed: at most $NESTING_LIMIT")))
    }
    return try {
        val faults = findFormFaults(text, serializer, positions)
        if (faults.isEmpty()) Ok(noteJson.decodeFromString(serializer, text)) else Err(faults)
    } catch (failure: SerializationException) {
        Err(listOf(malformed(text, failure)))
    }
}

/** Faults of form in well-formed [text]. Throws [SerializationException] when it is not well-formed. */
private fun findFormFaults(text: String, serializer: KSerializer<*>, positions: JsonPositions): List<NoteFault> {
    val element = noteJson.parseToJsonElement(text)
    val duplicates = positions.duplicates.map { NoteFault(it, "stands twice in its object") }
    val faults = duplicates + checkJsonShape(element, serializer.descriptor)
    return faults.map { it.copy(line = positions.line(it.field)) }
}

/** The library names the offset of an error, except when the text ends too early. */
private fun malformed(text: String, failure: SerializationException): NoteFault {
    val message = failure.message.orEmpty().lineSequence().first()
    val offset = offsetPattern.find(message)?.groupValues?.get(1)?.toInt() ?: text.trimEnd().length
    val line = text.take(offset).count { it == '\n' } + 1
    return NoteFault("", "is not well-formed JSON: $message", line)
}
