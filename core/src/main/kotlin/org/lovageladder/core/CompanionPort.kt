package org.lovageladder.core

import kotlin.time.Duration

/*
 * Events that a companion's decisions handle and effects that they return; EntryPort.kt describes how a process drives
 * them.
 */

/** Decisions of a companion, as a function of its state, an event and the time. Confined to one thread. */
public interface CompanionDecisions {
    /** Whether this companion has a release, has cancelled the calls of earlier incarnations, and accepts work. */
    public val isReady: Boolean

    /** Release version in force in this process, sent with every message. */
    public val release: ReleaseVersion

    /** Handles [event] at [now] and returns the effects to carry out, in order. [now] never decreases between calls. */
    public fun handle(event: CompanionEvent, now: Moment): List<CompanionEffect>

    /** Time at which the next [CompanionEvent.TimePassed] is due at the latest; null when there is no deadline. */
    public fun nextDeadline(): Moment?

    /** Status that operators see. */
    public fun status(now: Moment): CompanionStatus
}

/** An event that a companion handles. */
public sealed interface CompanionEvent {
    /** An entry connected; its first message was checked for protocol, host and incarnation. */
    public data class Connected(val connection: ConnectionId, val hello: PeerMessage.Hello) : CompanionEvent

    /** A connection ended. */
    public data class Disconnected(val connection: ConnectionId, val fault: Fault) : CompanionEvent

    /** A message arrived on a connection. */
    public data class Received(val connection: ConnectionId, val envelope: Envelope) : CompanionEvent

    /** An upstream reported on a call that [CompanionEffect.StartCall] started. */
    public data class CallReported(val attempt: AttemptId, val report: UpstreamReport) : CompanionEvent

    /** Result of [CompanionEffect.CancelCall]; [confirmed] when the upstream holds nothing for the call. */
    public data class CancelEnded(val attempt: AttemptId, val confirmed: Boolean) : CompanionEvent

    /**
     * Result of [CompanionEffect.ListRunning]: the calls that an upstream runs, by request name; null when it did not
     * answer.
     */
    public data class RunningListed(val upstream: UpstreamName, val requests: List<String>?) : CompanionEvent

    /** Result of [CompanionEffect.CancelOrphan]. */
    public data class OrphanCancelEnded(val upstream: UpstreamName, val requestName: String, val confirmed: Boolean) :
        CompanionEvent

    /** Result of [CompanionEffect.SendOrder]; [fault] is null when the order was carried out. */
    public data class OrderEnded(
        val upstream: UpstreamName,
        val order: UpstreamOrder,
        val fencing: Long,
        val fault: Fault?,
    ) : CompanionEvent

    /** The answer to [CompanionEffect.CallStore] with the same number. */
    public data class StoreAnswered(val callNumber: Long, val answer: StoreAnswer) : CompanionEvent

    /** The platform's host list was read. */
    public data class HostsListed(val hosts: List<ListedHost>) : CompanionEvent

    /** The process was asked to stop: announce leaving, finish what is in flight, then exit. */
    public data object StopRequested : CompanionEvent

    /** Time passed up to [CompanionDecisions.nextDeadline]. */
    public data object TimePassed : CompanionEvent
}

/** An effect that the process of a companion carries out. */
public sealed interface CompanionEffect {
    /** Sends a message on a connection; dropped when the connection is closed. */
    public data class Send(val connection: ConnectionId, val message: PeerMessage) : CompanionEffect

    /** Closes a connection without waiting. */
    public data class Disconnect(val connection: ConnectionId) : CompanionEffect

    /** Starts a call of an upstream; answered by [CompanionEvent.CallReported]. */
    public data class StartCall(val attempt: AttemptId, val upstream: ReleaseEntry.Upstream, val call: UpstreamCall) :
        CompanionEffect

    /** Cancels a call; answered by [CompanionEvent.CancelEnded]. */
    public data class CancelCall(val attempt: AttemptId, val upstream: ReleaseEntry.Upstream) : CompanionEffect

    /** Lists what an engine runs; answered by [CompanionEvent.RunningListed]. */
    public data class ListRunning(val upstream: ReleaseEntry.Upstream) : CompanionEffect

    /** Cancels a call that an earlier incarnation started; answered by [CompanionEvent.OrphanCancelEnded]. */
    public data class CancelOrphan(val upstream: ReleaseEntry.Upstream, val requestName: String) : CompanionEffect

    /** Sends an order to an upstream; answered by [CompanionEvent.OrderEnded]. */
    public data class SendOrder(val upstream: ReleaseEntry.Upstream, val order: UpstreamOrder, val fencing: Long) :
        CompanionEffect

    /** Calls the key-value service; answered by [CompanionEvent.StoreAnswered]. */
    public data class CallStore(val callNumber: Long, val request: StoreRequest, val timeout: Duration) :
        CompanionEffect

    /** Records an event on the time line. */
    public data class Record(val event: EventDraft) : CompanionEffect

    /** The process was asked to stop and all work is finished: it may exit. */
    public data object Exit : CompanionEffect
}

/** Status of a companion as operators see it. */
@kotlinx.serialization.Serializable
public data class CompanionStatus(
    val ready: Boolean,
    val leaving: Boolean,
    val release: ReleaseVersion,
    val host: HostName,
    val incarnation: Incarnation,
    val connectedEntries: List<ProcessName>,
    val loads: List<UpstreamLoad>,
    val reservations: Int,
    val runningCalls: Int,
    val startedClaims: Int,
)
