package org.lovageladder.core.forward.memory

import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.UpstreamRegistration
import org.lovageladder.core.forward.customer.CustomerName
import org.lovageladder.core.forward.customer.RequestPriority
import kotlin.time.Duration

/** Decode memory of one service for the streams of this process. Confined to one thread. */
internal interface DecodeMemory {
    /** Serves [request] as soon as memory is free, or refuses it. */
    fun enqueue(request: MemoryRequest)

    /** [request] needs no memory any more. */
    fun cancel(request: MemoryRequest)

    /** The memory of [grant] is free again. */
    fun onFreed(grant: MemoryGrant)

    /** The engine of [grant] declined the decode for which it had reserved the memory. Called before [onFreed]. */
    fun onDeclined(grant: MemoryGrant) = Unit

    /** Whether memory that a request gets now is memory that another one lacks. */
    fun isUnderMemoryPressure(): Boolean

    /** The memory of the engines as this process knows it now. */
    fun state(): DecodeMemoryState

    /** Tokens that this process holds at engine [name]. */
    fun heldTokensAt(name: UpstreamName): Int

    /** Drops the state of engines that are not registered any more and at which this process holds no memory. */
    fun removeUnregistered()

    /** Number of engines of which state is kept. */
    val trackedEngines: Int
}

/**
 * A request that waits for decode memory. Memory granted after [grantDeadline] is of no use to it. [onRefused] gets the
 * time after which the caller should return, null when it is not known.
 */
internal class MemoryRequest(
    val id: RequestId,
    val tokens: Int,
    val priority: RequestPriority,
    val arrivedAt: Moment,
    val grantDeadline: Moment,
    val avoidedEngines: Set<UpstreamName>,
    val onGranted: (MemoryGrant) -> Unit,
    val onRefused: (RefusalReason, Duration?) -> Unit,
    val customer: CustomerName? = null,
) {
    var isCancelled = false

    /** When it began to wait; the arrival of the request until then. */
    var queuedAt: Moment = arrivedAt
}

/** Memory at [engine], reserved for a request by a call at [requestedAt], until it is used or released. */
internal data class MemoryGrant(
    val engine: UpstreamRegistration,
    val tokens: Int,
    val reservation: Reservation,
    val requestedAt: Moment,
)

/**
 * Decode memory of a service as this process knows it: the tokens that it holds, its waiting requests, and the engines
 * that are full.
 */
internal data class DecodeMemoryState(val heldTokens: Int, val waitingRequests: Int, val fullEngines: Int)
