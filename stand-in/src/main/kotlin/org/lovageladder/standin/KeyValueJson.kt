package org.lovageladder.standin

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonDecoder
import kotlinx.serialization.json.jsonPrimitive
import java.nio.charset.StandardCharsets
import java.util.Base64

/** JSON format of etcd v3's published gateway: bytes as base64, 64-bit numbers as strings, default values omitted. */
internal val keyValueJson: Json =
    Json {
        ignoreUnknownKeys = true
        coerceInputValues = true
    }

/**
 * Keys and values: base64 on the wire, one ISO 8859-1 character per byte in memory, so that string order and length are
 * those of the bytes.
 */
internal object BytesSerializer : KSerializer<String> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("Bytes", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: String) {
        encoder.encodeString(Base64.getEncoder().encodeToString(value.toByteArray(StandardCharsets.ISO_8859_1)))
    }

    override fun deserialize(decoder: Decoder): String {
        val text = decoder.decodeString()
        try {
            return String(Base64.getDecoder().decode(text), StandardCharsets.ISO_8859_1)
        } catch (malformed: IllegalArgumentException) {
            throw MalformedValue(text, "'$text' is not base64", malformed)
        }
    }
}

/** 64-bit numbers: written as strings, read from strings and numbers. */
internal object LongTextSerializer : KSerializer<Long> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("LongText", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: Long) {
        encoder.encodeString(value.toString())
    }

    override fun deserialize(decoder: Decoder): Long {
        val text = (decoder as JsonDecoder).decodeJsonElement().jsonPrimitive.content
        return text.toLongOrNull() ?: throw MalformedValue(text, "'$text' is not a 64-bit number")
    }
}

internal typealias Bytes =
    @Serializable(BytesSerializer::class)
    String
internal typealias LongText =
    @Serializable(LongTextSerializer::class)
    Long
