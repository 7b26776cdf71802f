@file:OptIn(ExperimentalSerializationApi::class)

package org.lovageladder.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonNames

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
