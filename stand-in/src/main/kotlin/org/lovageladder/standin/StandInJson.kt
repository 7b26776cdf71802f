package org.lovageladder.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** JSON formats of the stand-ins and the reading of bodies. */
internal object StandInJson {
    /** Writes defaults and nulls, as engines do. Unknown fields in what is read are ignored. */
    val answers: Json =
        Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

    /** Refuses unknown fields; for orders whose misspelling would otherwise pass unnoticed. */
    val strict: Json = Json { encodeDefaults = true }

    private val fieldPattern = Regex("""(?:unknown key '|at path:? \$\.?)([\w.\[\]]+)""")

    /** Reads [body]; throws [RequestRefused] with status 400 naming the field when it doesn't fit. */
    inline fun <reified Body> read(body: String, format: Json = answers): Body = try {
        format.decodeFromString<Body>(body)
    } catch (malformed: SerializationException) {
        throw refusal(malformed, body)
    }

    fun refusal(malformed: SerializationException, body: String): RequestRefused {
        val reason = malformed.message.orEmpty().substringBefore("\n")
        val field = fieldOf(malformed, body) ?: "body"
        return RequestRefused.badField(field, "field $field: $reason")
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun fieldOf(malformed: SerializationException, body: String): String? = when (malformed) {
        is MissingFieldException -> malformed.missingFields.joinToString(",")
        is MalformedValue -> fieldWith(malformed.value, Json.parseToJsonElement(body), field = null)
        else -> fieldPattern.find(malformed.message.orEmpty())?.groupValues?.get(1)
    }

    /** The name of the first field in [element] that holds [value]; [field] is the name of [element] itself. */
    private fun fieldWith(value: String, element: JsonElement, field: String?): String? = when (element) {
        is JsonObject -> element.firstNotNullOfOrNull { (name, child) -> fieldWith(value, child, name) }
        is JsonArray -> element.firstNotNullOfOrNull { fieldWith(value, it, field) }
        is JsonPrimitive -> field.takeIf { element.content == value }
    }
}

/** A field's [value] that its type doesn't allow, found where the name of the field isn't known. */
internal class MalformedValue(val value: String, message: String, cause: Throwable? = null) :
    SerializationException(message, cause)
