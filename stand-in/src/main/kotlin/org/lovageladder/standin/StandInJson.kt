package org.lovageladder.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

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

    /** Reads [body]; throws [RequestRefused] with status 400 naming the field when it doesn't fit. */
    inline fun <reified Body> read(body: String, format: Json = answers): Body = try {
        format.decodeFromString<Body>(body)
    } catch (malformed: SerializationException) {
        throw refusal(malformed)
    }

    @OptIn(ExperimentalSerializationApi::class)
    fun refusal(malformed: SerializationException): RequestRefused {
        val reason = malformed.message.orEmpty().substringBefore("\n")
        val field =
            when (malformed) {
                is MissingFieldException -> malformed.missingFields.joinToString(",")
                else -> fieldPattern.find(malformed.message.orEmpty())?.groupValues?.get(1) ?: "body"
            }
        return RequestRefused.badField(field, "field $field: $reason")
    }

    private val fieldPattern = Regex("""(?:unknown key '|at path:? \$\.?)([\w.\[\]]+)""")
}
