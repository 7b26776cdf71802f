package org.lovageladder.core

import kotlin.time.Duration

/*
 * What the decisions of a companion take in and give out; see EntryPort.kt for the manner of use.
 */

/** Decisions of a companion, as a function of its state, an event and the time. Confined to one thread. */
public interface CompanionDecisions {
    /** Whether this companion has a release, has cancelled what an earlier incarnation left, and takes work. */
    public val ready: Boolean

    /** Release version in force here, sent with every message. */
    public val release: ReleaseVersion

    /** Handles [event] at [now] and returns what is to be done, in order. Times never go back between calls. */
    public fun handle(event: CompanionEvent, now: Moment): List<CompanionEffect>

    /** Time at which [CompanionEvent.TimePassed] is due at the latest; null when nothing waits. */
    public fun nextDeadline(): Moment?

    /** What operators see of this companion. */
    public fun status(now: Moment): CompanionStatus
}

/** Something that happened to a companion. */
public sealed interface CompanionEvent {
    /** An entry connected; its first message was checked for protocol, host and incarnation. */
    public data class Connected(val connection: ConnectionId, val hello: PeerMessage.Hello) : CompanionEvent

    /** A connection ended. */
    public data class Disconnected(val connection: ConnectionId, val fault: Fault) : CompanionEvent

    /** A message arrived on a connection. */
    public data class Received(val connection: ConnectionId, val envelope: Envelope) : CompanionEvent

    /** An upstream reported on a call that [CompanionEffect.StartCall] started. */
    public data class Reported(val attempt: AttemptId, val report: UpstreamReport) : CompanionEvent

    /** End of [CompanionEffect.CancelCall]; [confirmed] when the upstream holds nothing for the call. */
    public data class CancelEnded(val attempt: AttemptId, val confirmed: Boolean) : CompanionEvent

    /** What an upstream still runs, by request name; null when it did not answer. */
    public data class RunningListed(val upstream: UpstreamName, val requests: List<String>?) : CompanionEvent

    /** End of [CompanionEffect.CancelOrphan]. */
    public data class OrphanEnded(val upstream: UpstreamName, val requestName: String, val confirmed: Boolean) :
        CompanionEvent

    /** End of [CompanionEffect.GiveOrder]; [fault] is null when it was carried out. */
    public data class OrderEnded(
        val upstream: UpstreamName,
        val order: UpstreamOrder,
        val fencing: Long,
        val fault: Fault?,
    ) : CompanionEvent

    /** The answer to [CompanionEffect.AskStore] with the same ticket. */
    public data class StoreAnswered(val ticket: Long, val answer: StoreAnswer) : CompanionEvent

    /** The platform's host list was read. */
    public data class HostsListed(val hosts: List<ListedHost>) : CompanionEvent

    /** The process was asked to stop: announce leaving, finish what is in flight, then exit. */
    public data object StopRequested : CompanionEvent

    /** Time passed up to [CompanionDecisions.nextDeadline]. */
    public data object TimePassed : CompanionEvent
}

/** Something a companion's process has to do. */
public sealed interface CompanionEffect {
    /** Sends a message on a connection; dropped when the connection is gone. */
    public data class Send(val connection: ConnectionId, val message: PeerMessage) : CompanionEffect

    /** Closes a connection without waiting. */
    public data class Disconnect(val connection: ConnectionId) : CompanionEffect

    /** Starts a call of an upstream; answered by [CompanionEvent.Reported]. */
    public data class StartCall(val attempt: AttemptId, val upstream: ReleaseEntry.Upstream, val call: UpstreamCall) :
        CompanionEffect

    /** Cancels a call; answered by [CompanionEvent.CancelEnded]. */
    public data class CancelCall(val attempt: AttemptId, val upstream: ReleaseEntry.Upstream) : CompanionEffect

    /** Lists what an engine runs; answered by [CompanionEvent.RunningListed]. */
    public data class ListRunning(val upstream: ReleaseEntry.Upstream) : CompanionEffect

    /** Cancels a call that an earlier incarnation started; answered by [CompanionEvent.OrphanEnded]. */
    public data class CancelOrphan(val upstream: ReleaseEntry.Upstream, val requestName: String) : CompanionEffect

    /** Gives an upstream an order; answered by [CompanionEvent.OrderEnded]. */
    public data class GiveOrder(val upstream: ReleaseEntry.Upstream, val order: UpstreamOrder, val fencing: Long) :
        CompanionEffect

    /** Calls the key-value service; answered by [CompanionEvent.StoreAnswered]. */
    public data class AskStore(val ticket: Long, val request: StoreRequest, val timeout: Duration) : CompanionEffect

    /** Records an event on the time line. */
    public data class Record(val event: EventDraft) : CompanionEffect

    /** All work is finished after leaving: the process may exit. */
    public data object Exit : CompanionEffect
}

/** What operators see of a companion. */
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
