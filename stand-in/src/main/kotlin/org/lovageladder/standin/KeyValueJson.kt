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

/** Messages of etcd v3's published JSON mapping: bytes as base64, 64-bit numbers as strings, defaults left out. */
internal val keyValueJson: Json =
    Json {
        ignoreUnknownKeys = true
        coerceInputValues = true
    }

/** Keys and values: base64 on the wire, here one character per byte so that order and size are those of the bytes. */
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
