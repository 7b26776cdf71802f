package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

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
