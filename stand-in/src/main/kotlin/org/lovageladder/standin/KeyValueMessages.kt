@file:OptIn(ExperimentalSerializationApi::class)

package org.lovageladder.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonNames

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
    @JsonNames("prevKv") @SerialName("prev_kv") val returnPrevious: Boolean = false,
)

@Serializable
internal data class PutResponse(val header: ResponseHeader, @SerialName("prev_kv") val previous: KeyValue? = null)

@Serializable
internal data class DeleteRangeRequest(
    val key: Bytes = "",
    @JsonNames("rangeEnd") @SerialName("range_end") val rangeEnd: Bytes = "",
    @JsonNames("prevKv") @SerialName("prev_kv") val returnPrevious: Boolean = false,
)

@Serializable
internal data class DeleteRangeResponse(
    val header: ResponseHeader,
    val deleted: LongText = 0,
    @SerialName("prev_kvs") val previous: List<KeyValue> = emptyList(),
)

/** An error answer of the JSON gateway; [code] is the gRPC status code. */
@Serializable
internal data class KeyValueError(val error: String, val code: Int, val message: String = error)
