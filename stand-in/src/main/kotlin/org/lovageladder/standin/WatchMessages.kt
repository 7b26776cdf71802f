@file:OptIn(ExperimentalSerializationApi::class)

package org.lovageladder.standin

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonNames

@Serializable
internal data class WatchRequest(
    @JsonNames("createRequest") @SerialName("create_request") val create: WatchCreateRequest? = null,
)

@Serializable
internal data class WatchCreateRequest(
    val key: Bytes = "",
    @JsonNames("rangeEnd") @SerialName("range_end") val rangeEnd: Bytes = "",
    @JsonNames("startRevision") @SerialName("start_revision") val startRevision: LongText = 0,
    @JsonNames("prevKv") @SerialName("prev_kv") val returnPrevious: Boolean = false,
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
