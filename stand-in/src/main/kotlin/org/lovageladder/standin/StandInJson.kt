package org.lovageladder.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** JSON formats of the stand-ins, and parsing of request bodies. */
internal object StandInJson {
    /** Ignores unknown fields when reading; writes default values and nulls, as engines do. */
    val lenient: Json =
        Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

    /** Rejects unknown fields; for bodies whose misspelled fields would otherwise be ignored without notice. */
    val strict: Json = Json { encodeDefaults = true }

    private val fieldPattern = Regex("""(?:unknown key '|at path:? \$\.?)([\w.\[\]]+)""")

    /** Reads [body]; throws [RequestRefused] with status 400 naming the field when it is invalid. */
    inline fun <reified Body> read(body: String, format: Json = lenient): Body = try {
        format.decodeFromString<Body>(body)
    } catch (malformed: SerializationException) {
        throw refusalFor(malformed, body)
    }

    fun refusalFor(malformed: SerializationException, body: String): RequestRefused {
        val reason = malformed.message.orEmpty().substringBefore("\n")
        val field = invalidField(malformed, body) ?: "body"
        return RequestRefused.invalidField(field, "field $field: $reason")
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun invalidField(malformed: SerializationException, body: String): String? = when (malformed) {
        is MissingFieldException -> malformed.missingFields.joinToString(",")
        is MalformedValue -> findFieldWithValue(malformed.value, Json.parseToJsonElement(body), field = null)
        else -> fieldPattern.find(malformed.message.orEmpty())?.groupValues?.get(1)
    }

    /** The name of the first field in [element] that holds [value]; [field] is the name of [element] itself. */
    private fun findFieldWithValue(value: String, element: JsonElement, field: String?): String? = when (element) {
        is JsonObject -> element.firstNotNullOfOrNull { (name, child) -> findFieldWithValue(value, child, name) }
        is JsonArray -> element.firstNotNullOfOrNull { findFieldWithValue(value, it, field) }
        is JsonPrimitive -> field.takeIf { element.content == value }
    }
}

/** An invalid field [value], thrown by a serializer that doesn't know the name of the field. */
internal class MalformedValue(val value: String, message: String, cause: Throwable? = null) :
    SerializationException(message, cause)
