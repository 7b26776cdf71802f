@file:OptIn(ExperimentalSerializationApi::class)

package org.lovageladder.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonDecoder
import kotlinx.serialization.json.JsonNames
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
            throw SerializationException("'$text' is not base64", malformed)
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
        return text.toLongOrNull() ?: throw SerializationException("'$text' is not a 64-bit number")
    }
}

internal typealias Bytes =
    @Serializable(BytesSerializer::class)
    String
internal typealias LongText =
    @Serializable(LongTextSerializer::class)
    Long

@Serializable
internal data class ResponseHeader(
    val revision: LongText,
    @SerialName("cluster_id") val clusterId: LongText = 0,
    @SerialName("member_id") val memberId: LongText = 0,
    @SerialName("raft_term") val raftTerm: LongText = 0,
)

@Serializable
internal data class KeyValue(
    val key: Bytes = "",
    @SerialName("create_revision") val createRevision: LongText = 0,
    @SerialName("mod_revision") val modRevision: LongText = 0,
    val version: LongText = 0,
    val value: Bytes = "",
    val lease: LongText = 0,
)

@Serializable
internal data class RangeRequest(
    val key: Bytes = "",
    @JsonNames("rangeEnd") @SerialName("range_end") val rangeEnd: Bytes = "",
    val limit: LongText = 0,
    val revision: LongText = 0,
    @JsonNames("keysOnly") @SerialName("keys_only") val keysOnly: Boolean = false,
    @JsonNames("countOnly") @SerialName("count_only") val countOnly: Boolean = false,
)

@Serializable
internal data class RangeResponse(
    val header: ResponseHeader,
    val kvs: List<KeyValue> = emptyList(),
    val more: Boolean = false,
    val count: LongText = 0,
)

@Serializable
internal data class PutRequest(
    val key: Bytes = "",
    val value: Bytes = "",
    val lease: LongText = 0,
    @JsonNames("prevKv") @SerialName("prev_kv") val previousWanted: Boolean = false,
)

@Serializable
internal data class PutResponse(val header: ResponseHeader, @SerialName("prev_kv") val previous: KeyValue? = null)

@Serializable
internal data class DeleteRangeRequest(
    val key: Bytes = "",
    @JsonNames("rangeEnd") @SerialName("range_end") val rangeEnd: Bytes = "",
    @JsonNames("prevKv") @SerialName("prev_kv") val previousWanted: Boolean = false,
)

@Serializable
internal data class DeleteRangeResponse(
    val header: ResponseHeader,
    val deleted: LongText = 0,
    @SerialName("prev_kvs") val previous: List<KeyValue> = emptyList(),
)

@Serializable
internal data class TxnRequest(
    val compare: List<Compare> = emptyList(),
    val success: List<RequestOperation> = emptyList(),
    val failure: List<RequestOperation> = emptyList(),
)

@Serializable
internal enum class CompareResult { EQUAL, GREATER, LESS, NOT_EQUAL }

@Serializable
internal enum class CompareTarget { VERSION, CREATE, MOD, VALUE, LEASE }

@Serializable
internal data class Compare(
    val result: CompareResult = CompareResult.EQUAL,
    val target: CompareTarget = CompareTarget.VERSION,
    val key: Bytes = "",
    val version: LongText = 0,
    @JsonNames("createRevision") @SerialName("create_revision") val createRevision: LongText = 0,
    @JsonNames("modRevision") @SerialName("mod_revision") val modRevision: LongText = 0,
    val value: Bytes = "",
    val lease: LongText = 0,
)

/** One operation of a transaction; exactly one field is set. */
@Serializable
internal data class RequestOperation(
    @JsonNames("requestRange") @SerialName("request_range") val range: RangeRequest? = null,
    @JsonNames("requestPut") @SerialName("request_put") val put: PutRequest? = null,
    @JsonNames("requestDeleteRange") @SerialName("request_delete_range") val deleteRange: DeleteRangeRequest? = null,
)

@Serializable
internal data class ResponseOperation(
    @SerialName("response_range") val range: RangeResponse? = null,
    @SerialName("response_put") val put: PutResponse? = null,
    @SerialName("response_delete_range") val deleteRange: DeleteRangeResponse? = null,
)

@Serializable
internal data class TxnResponse(
    val header: ResponseHeader,
    val succeeded: Boolean = false,
    val responses: List<ResponseOperation> = emptyList(),
)

@Serializable
internal data class LeaseGrantRequest(
    @SerialName("TTL") val timeToLiveSeconds: LongText = 0,
    @SerialName("ID") val id: LongText = 0,
)

@Serializable
internal data class LeaseRequest(@SerialName("ID") val id: LongText = 0, val keys: Boolean = false)

@Serializable
internal data class LeaseResponse(
    val header: ResponseHeader,
    @SerialName("ID") val id: LongText = 0,
    @SerialName("TTL") val timeToLiveSeconds: LongText = 0,
    @SerialName("grantedTTL") val grantedSeconds: LongText = 0,
    val keys: List<Bytes> = emptyList(),
)

@Serializable
internal data class LeaseRevokeResponse(val header: ResponseHeader)

@Serializable
internal data class LeaseKeepAliveEnvelope(val result: LeaseResponse)

@Serializable
internal data class WatchRequest(
    @JsonNames("createRequest") @SerialName("create_request") val create: WatchCreateRequest? = null,
)

@Serializable
internal data class WatchCreateRequest(
    val key: Bytes = "",
    @JsonNames("rangeEnd") @SerialName("range_end") val rangeEnd: Bytes = "",
    @JsonNames("startRevision") @SerialName("start_revision") val startRevision: LongText = 0,
    @JsonNames("prevKv") @SerialName("prev_kv") val previousWanted: Boolean = false,
)

@Serializable
internal enum class EventType { PUT, DELETE }

@Serializable
internal data class WatchEvent(
    val type: EventType = EventType.PUT,
    val kv: KeyValue,
    @SerialName("prev_kv") val previous: KeyValue? = null,
)

@Serializable
internal data class WatchResponse(
    val header: ResponseHeader,
    val created: Boolean = false,
    val canceled: Boolean = false,
    @SerialName("compact_revision") val compactRevision: LongText = 0,
    val events: List<WatchEvent> = emptyList(),
)

@Serializable
internal data class WatchEnvelope(val result: WatchResponse)

/** An error as the JSON mapping carries it; [code] is the RPC's status code. */
@Serializable
internal data class KeyValueError(val error: String, val code: Int, val message: String = error)

@Serializable
internal data class KeyValueFault(
    @SerialName("down_ms") val downMilliseconds: Long? = null,
    @SerialName("slow_ms") val slowMilliseconds: Long? = null,
    @SerialName("for_ms") val forMilliseconds: Long? = null,
    @SerialName("lose_answers") val loseAnswers: Int? = null,
    @SerialName("old_data_revisions") val oldDataRevisions: Long? = null,
)
