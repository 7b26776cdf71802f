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

/** Maximum size of a note in bytes of UTF-8: the limit of the key-value service for one value. */
public const val MAXIMUM_NOTE_BYTES: Int = 1_000_000

/** Maximum nesting of a note's JSON; the structure of a valid note needs less. */
private const val MAXIMUM_NESTING = 16

private val compactNoteJson = Json { prettyPrint = false }

private val indentedNoteJson = Json {
    prettyPrint = true
    prettyPrintIndent = "  "
}

private val offsetPattern = Regex("""offset (\d+)""")

/** Reads an operator's note. On failure returns every structural fault with its field and line. */
public fun readReleaseNote(text: String): Result<ReleaseNote, List<NoteFault>> =
    readNoteText(text, ReleaseNote.serializer())

/**
 * Reads a note from the key-value service. Unknown fields are ignored, as in every process, since a newer version may
 * have written them. Other faults are returned as by [readReleaseNote].
 */
public fun readAcceptedNote(text: String): Result<AcceptedNote, List<NoteFault>> =
    decodeNote(text)?.let { Ok(it) } ?: readNoteText(text, AcceptedNote.serializer())

/** Encodes [note] for the key-value service, on one line. */
public fun writeAcceptedNote(note: AcceptedNote): String =
    compactNoteJson.encodeToString(AcceptedNote.serializer(), note)

/** Encodes [note] as an operator's file, indented. */
public fun writeReleaseNote(note: ReleaseNote): String = indentedNoteJson.encodeToString(ReleaseNote.serializer(), note)

/**
 * Returns [fault] with the line in [text] of its field, or of the innermost object that encloses it when the field is
 * absent. A fault that already has a line is returned unchanged.
 */
public fun locate(text: String, fault: NoteFault): NoteFault =
    if (fault.line != null) fault else fault.copy(line = scanJsonPositions(text).line(fault.field))

private fun <T> readNoteText(text: String, serializer: KSerializer<T>): Result<T, List<NoteFault>> {
    val size = text.toByteArray().size
    if (size > MAXIMUM_NOTE_BYTES) {
        return Err(listOf(NoteFault("", "is $size bytes long; allowed: at most $MAXIMUM_NOTE_BYTES")))
    }
    val positions = scanJsonPositions(text)
    if (positions.depth > MAXIMUM_NESTING) {
        return Err(listOf(NoteFault("", "is nested ${positions.depth} deep; allowed: at most $MAXIMUM_NESTING")))
    }
    return try {
        val faults = findStructureFaults(text, serializer, positions)
        if (faults.isEmpty()) Ok(compactNoteJson.decodeFromString(serializer, text)) else Err(faults)
    } catch (exception: SerializationException) {
        Err(listOf(malformedJsonFault(text, exception)))
    }
}

/** Returns the structural faults of [text]. Throws [SerializationException] when it is not well-formed JSON. */
private fun findStructureFaults(text: String, serializer: KSerializer<*>, positions: JsonPositions): List<NoteFault> {
    val element = compactNoteJson.parseToJsonElement(text)
    val duplicates = positions.duplicates.map { NoteFault(it, "occurs more than once in its object") }
    val faults = duplicates + checkJsonShape(element, serializer.descriptor)
    return faults.map { it.copy(line = positions.line(it.field)) }
}

/** Takes the line from the offset in the library's message, which lacks one only when the text ends too early. */
private fun malformedJsonFault(text: String, exception: SerializationException): NoteFault {
    val message = exception.message.orEmpty().lineSequence().first()
    val offset = offsetPattern.find(message)?.groupValues?.get(1)?.toInt() ?: text.trimEnd().length
    val line = text.take(offset).count { it == '\n' } + 1
    return NoteFault("", "is not well-formed JSON: $message", line)
}
