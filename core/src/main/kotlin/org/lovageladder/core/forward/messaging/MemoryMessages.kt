package org.lovageladder.core.forward.messaging

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lovageladder.core.PlaceName
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.customer.CustomerName

/*
 * Messages between the entries and the coordinator of the decode memory of a service. Field names are short, since
 * several messages share a datagram.
 */

/** A message about the decode memory of [service]. */
@Serializable
public sealed interface MemoryMessage : EntryMessage {
    public val service: ServiceName
}

/** A message from an entry to the coordinator. */
@Serializable
public sealed interface MemoryDemand : MemoryMessage

/** A message from the coordinator to an entry. [isUnderPressure] tells whether requests wait there for memory. */
@Serializable
public sealed interface MemoryAnswer : MemoryMessage {
    public val isUnderPressure: Boolean
}

/**
 * An entry needs memory for [tokens] tokens within [remainingMs], for a request that arrived [ageMs] ago. The entry
 * chooses [id], which no other request of its bears, not even of an earlier start. [avoided] engines are used only when
 * no other has room.
 */
@Serializable
@SerialName("ma")
public data class MemoryAsk(
    @SerialName("s") override val service: ServiceName,
    @SerialName("i") val id: Long,
    @SerialName("t") val tokens: Int,
    @SerialName("d") val remainingMs: Int,
    @SerialName("a") val ageMs: Int,
    @SerialName("l") val place: PlaceName,
    @SerialName("k") val customerPriority: Int = 0,
    @SerialName("p") val routePriority: Int = 0,
    @SerialName("c") val customer: CustomerName? = null,
    @SerialName("x") val avoided: List<UpstreamName> = emptyList(),
) : MemoryDemand

/** The request with [id] needs no memory any more; an offer to it is void. */
@Serializable
@SerialName("mc")
public data class MemoryCancel(@SerialName("s") override val service: ServiceName, @SerialName("i") val id: Long) :
    MemoryDemand

/** Memory for [tokens] tokens at [engine] that an entry holds under [id]. */
@Serializable
public data class MemoryHolding(
    @SerialName("i") val id: Long,
    @SerialName("e") val engine: UpstreamName,
    @SerialName("t") val tokens: Int,
    @SerialName("c") val customer: CustomerName? = null,
)

/** The entry takes up an offer, or got [holding] without one. */
@Serializable
@SerialName("mt")
public data class MemoryTaken(
    @SerialName("s") override val service: ServiceName,
    @SerialName("h") val holding: MemoryHolding,
) : MemoryDemand

/** The [engine] did not give the memory that was offered under [id], because it is full or [isUnreachable]. */
@Serializable
@SerialName("md")
public data class MemoryDeclined(
    @SerialName("s") override val service: ServiceName,
    @SerialName("i") val id: Long,
    @SerialName("e") val engine: UpstreamName,
    @SerialName("u") val isUnreachable: Boolean = false,
) : MemoryDemand

/** The memory held or offered under [id] is free. */
@Serializable
@SerialName("mr")
public data class MemoryReleased(@SerialName("s") override val service: ServiceName, @SerialName("i") val id: Long) :
    MemoryDemand

/** All that an entry holds under ids from [from] to [to], both included. Longer lists are sent in several parts. */
@Serializable
@SerialName("ml")
public data class MemoryList(
    @SerialName("s") override val service: ServiceName,
    @SerialName("f") val from: Long,
    @SerialName("o") val to: Long,
    @SerialName("h") val holdings: List<MemoryHolding>,
) : MemoryDemand

/** Memory at [engine] is set aside for the request with [id]. */
@Serializable
@SerialName("mo")
public data class MemoryOffer(
    @SerialName("s") override val service: ServiceName,
    @SerialName("i") val id: Long,
    @SerialName("e") val engine: UpstreamName,
    @SerialName("w") override val isUnderPressure: Boolean = false,
) : MemoryAnswer

/** The request with [id] waits. */
@Serializable
@SerialName("mq")
public data class MemoryQueued(
    @SerialName("s") override val service: ServiceName,
    @SerialName("i") val id: Long,
    @SerialName("w") override val isUnderPressure: Boolean = true,
) : MemoryAnswer

/** The request with [id] cannot be served in time; memory for it is expected in [retryAfterMs]. */
@Serializable
@SerialName("mx")
public data class MemoryRefused(
    @SerialName("s") override val service: ServiceName,
    @SerialName("i") val id: Long,
    @SerialName("d") val retryAfterMs: Int,
    @SerialName("w") override val isUnderPressure: Boolean = true,
) : MemoryAnswer

/** The coordinator knows no engine that accepts calls; the entry decides on the request with [id] itself. */
@Serializable
@SerialName("mu")
public data class MemoryNotCoordinated(
    @SerialName("s") override val service: ServiceName,
    @SerialName("i") val id: Long,
    @SerialName("w") override val isUnderPressure: Boolean = false,
) : MemoryAnswer

/** The coordinator received a part of a list. */
@Serializable
@SerialName("mn")
public data class MemoryListReceived(
    @SerialName("s") override val service: ServiceName,
    @SerialName("w") override val isUnderPressure: Boolean = false,
) : MemoryAnswer
