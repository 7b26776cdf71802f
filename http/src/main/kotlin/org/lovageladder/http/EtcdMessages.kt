package org.lovageladder.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.lovageladder.core.StoredEntry
import java.nio.charset.StandardCharsets
import java.util.Base64

/*
 * Messages of etcd's v3 JSON gateway: bytes are base64, 64-bit integers are strings, default values are left out.
 */

internal val etcdJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

internal fun encodeBase64(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())

internal fun decodeBase64(text: String): String = String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8)

/**
 * Base64 of the first key after all keys that start with [prefix], used as `range_end`. When there is none, base64 of
 * `\0`, by which etcd reads to the last key.
 */
internal fun encodedPrefixEnd(prefix: String): String {
    val bytes = prefix.toByteArray()
    val last = bytes.indexOfLast { it != BYTE_FF }
    if (last < 0) return Base64.getEncoder().encodeToString(byteArrayOf(0))
    val end = bytes.copyOf(last + 1)
    end[last]++
    return Base64.getEncoder().encodeToString(end)
}

private const val BYTE_FF: Byte = -1

@Serializable
internal data class EtcdHeader(val revision: String = "0")

@Serializable
internal data class EtcdEntry(
    val key: String,
    val value: String = "",
    @SerialName("mod_revision") val modRevision: String = "0",
) {
    fun toStoredEntry(): StoredEntry = StoredEntry(decodeBase64(key), decodeBase64(value), modRevision.toLong())
}

@Serializable
internal data class EtcdRange(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null,
    val limit: String? = null,
)

@Serializable
internal data class EtcdRangeAnswer(val header: EtcdHeader = EtcdHeader(), val kvs: List<EtcdEntry> = emptyList())

@Serializable
internal data class EtcdPut(val key: String, val value: String, val lease: String? = null)

@Serializable
internal data class EtcdCompare(
    val key: String,
    val target: String,
    val result: String,
    @SerialName("create_revision") val createRevision: String? = null,
    @SerialName("mod_revision") val modRevision: String? = null,
)

@Serializable
internal data class EtcdOperation(
    @SerialName("request_put") val put: EtcdPut? = null,
    @SerialName("request_range") val range: EtcdRange? = null,
)

@Serializable
internal data class EtcdTransaction(
    val compare: List<EtcdCompare>,
    val success: List<EtcdOperation>,
    val failure: List<EtcdOperation>,
)

@Serializable
internal data class EtcdOperationAnswer(@SerialName("response_range") val range: EtcdRangeAnswer? = null)

@Serializable
internal data class EtcdTransactionAnswer(
    val header: EtcdHeader,
    val succeeded: Boolean = false,
    val responses: List<EtcdOperationAnswer> = emptyList(),
)

@Serializable
internal data class EtcdLeaseGrant(@SerialName("TTL") val timeToLiveSeconds: String)

@Serializable
internal data class EtcdLeaseRenewal(@SerialName("ID") val lease: String)

@Serializable
internal data class EtcdLeaseAnswer(
    @SerialName("ID") val lease: String,
    @SerialName("TTL") val timeToLiveSeconds: String = "0",
)

@Serializable
internal data class EtcdLeaseRenewalAnswer(val result: EtcdLeaseAnswer)

@Serializable
internal data class EtcdWatchCreation(@SerialName("create_request") val creation: EtcdRange)

@Serializable
internal data class EtcdWatchMessage(val result: EtcdWatchResult? = null, val error: EtcdError? = null)

@Serializable
internal data class EtcdWatchResult(
    val canceled: Boolean = false,
    @SerialName("cancel_reason") val cancelReason: String = "",
    val events: List<EtcdWatchEvent> = emptyList(),
)

@Serializable
internal data class EtcdWatchEvent(val type: String = PUT, val kv: EtcdEntry) {
    companion object {
        const val PUT: String = "PUT"
    }
}

@Serializable
internal data class EtcdError(val message: String = "", val error: String = "") {
    val text: String get() = message.ifEmpty { error }
}
