package org.lovageladder.core

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/*
 * JSON values of the key-value service.
 */

private val STORED_JSON = Json { ignoreUnknownKeys = true }

internal fun encodeClaim(record: ClaimRecord): String = STORED_JSON.encodeToString(ClaimRecord.serializer(), record)

/** Returns the claim in [value], or null when it cannot be read. */
internal fun decodeClaim(value: String): ClaimRecord? = decodeOrNull(ClaimRecord.serializer(), value)

/** Returns the note in [value], or null when it cannot be read. */
internal fun decodeNote(value: String): AcceptedNote? = decodeOrNull(AcceptedNote.serializer(), value)

private fun <T : Any> decodeOrNull(strategy: DeserializationStrategy<T>, value: String): T? = try {
    STORED_JSON.decodeFromString(strategy, value)
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
}
