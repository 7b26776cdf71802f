package org.lovageladder.core

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/*
 * JSON encoding of the values in the key-value service.
 */

private val STORED_JSON = Json { ignoreUnknownKeys = true }

internal fun encodeClaim(record: ClaimRecord): String = STORED_JSON.encodeToString(ClaimRecord.serializer(), record)

/** Returns the claim in [value], or null when it cannot be read. */
internal fun decodeClaim(value: String): ClaimRecord? = decodeOrNull(ClaimRecord.serializer(), value)

/** Returns the note in [value], or null when it cannot be read. */
internal fun decodeNote(value: String): AcceptedNote? = decodeOrNull(AcceptedNote.serializer(), value)

/**
 * The note stored in [entry]. A note that cannot be read counts as empty, like one that fails the checks, so that a
 * later note can correct it, and [unreadable] is called. Null when the key contains no version.
 */
internal fun storedNote(entry: StoredEntry, unreadable: (StoredEntry) -> Unit): AcceptedNote? {
    val version = entry.key.removePrefix(NOTE_PREFIX).toLongOrNull()?.let(::ReleaseVersion)
    val note = decodeNote(entry.value)?.takeIf { it.version == version }
    if (note == null) unreadable(entry)
    return note ?: version?.let { AcceptedNote(it, ReleaseNote(UNREADABLE_NOTE)) }
}

private val UNREADABLE_NOTE = NoteId("unreadable")

private fun <T : Any> decodeOrNull(strategy: DeserializationStrategy<T>, value: String): T? = try {
    STORED_JSON.decodeFromString(strategy, value)
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
}
