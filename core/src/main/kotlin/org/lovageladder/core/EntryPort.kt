package org.lovageladder.core

import kotlin.time.Duration

/*
 * What the decisions of an entry take in and give out. The decisions have no input or output of their own: the
 * process hands each event to [EntryDecisions.handle] on its control thread and carries out the effects in order.
 */

/** Decisions of an entry, as a function of its state, an event and the time. Confined to one thread. */
public interface EntryDecisions {
    /** Whether this entry has a release and takes requests. */
    public val ready: Boolean

    /** Release version in force here, sent with every message. */
    public val release: ReleaseVersion

    /** Handles [event] at [now] and returns what is to be done, in order. Times never go back between calls. */
    public fun handle(event: EntryEvent, now: Moment): List<EntryEffect>

    /** Time at which [EntryEvent.TimePassed] is due at the latest; null when nothing waits. */
    public fun nextDeadline(): Moment?

    /** What operators see of this entry. */
    public fun status(now: Moment): EntryStatus
}

/** Something that happened to an entry. */
public sealed interface EntryEvent {
    /** A caller submitted a request. */
    public data class Submitted(val exchange: ExchangeId, val submission: Submission) : EntryEvent

    /** The caller's connection is gone, or it cancelled. */
    public data class CallerLeft(val exchange: ExchangeId) : EntryEvent

    /** A connection is established; the companion's first message arrived. */
    public data class Connected(val connection: ConnectionId, val welcome: PeerMessage.Welcome) : EntryEvent

    /** A connection, or an attempt to connect to [host], ended. */
    public data class Disconnected(val connection: ConnectionId, val host: HostName, val fault: Fault) : EntryEvent

    /** A message arrived on a connection. */
    public data class Received(val connection: ConnectionId, val envelope: Envelope) : EntryEvent

    /** The answer to [EntryEffect.AskStore] with the same ticket. */
    public data class StoreAnswered(val ticket: Long, val answer: StoreAnswer) : EntryEvent

    /** A watch reported a note. */
    public data class NoteSeen(val note: AcceptedNote) : EntryEvent

    /** The platform's host list was read. */
    public data class HostsListed(val hosts: List<ListedHost>) : EntryEvent

    /** The process was asked to stop: finish what is in flight, take nothing new. */
    public data object StopRequested : EntryEvent

    /** Time passed up to [EntryDecisions.nextDeadline]. */
    public data object TimePassed : EntryEvent
}

/** Something an entry's process has to do. */
public sealed interface EntryEffect {
    /** Hands one token to a caller. Indexes are given once each, in order, from 0. */
    public data class GiveToken(val exchange: ExchangeId, val index: Int, val text: String) : EntryEffect

    /** Gives a caller its final outcome. Nothing follows for this exchange. */
    public data class GiveOutcome(val exchange: ExchangeId, val request: RequestId, val outcome: Outcome) : EntryEffect

    /** Connects to a companion; answered by [EntryEvent.Connected] or [EntryEvent.Disconnected]. */
    public data class Connect(val connection: ConnectionId, val host: HostName, val address: Address) : EntryEffect

    /** Closes a connection without waiting. */
    public data class Disconnect(val connection: ConnectionId) : EntryEffect

    /** Sends a message on a connection; dropped when the connection is gone. */
    public data class Send(val connection: ConnectionId, val message: PeerMessage) : EntryEffect

    /** Calls the key-value service; answered by [EntryEvent.StoreAnswered]. */
    public data class AskStore(val ticket: Long, val request: StoreRequest, val timeout: Duration) : EntryEffect

    /** Starts or ends the watch of release notes. */
    public data class WatchNotes(val watching: Boolean) : EntryEffect

    /** Records an event on the time line. */
    public data class Record(val event: EventDraft) : EntryEffect

    /** All work is finished after [EntryEvent.StopRequested]: the process may exit. */
    public data object Exit : EntryEffect
}

/** What operators see of an entry. */
@kotlinx.serialization.Serializable
public data class EntryStatus(
    val ready: Boolean,
    val draining: Boolean,
    val release: ReleaseVersion,
    val requestsInFlight: Int,
    val connectedHosts: List<HostName>,
    val upstreams: List<UpstreamView>,
)

/** An upstream as an entry sees it. [firstLatencyMicroseconds] is its smoothed time to the first answer. */
@kotlinx.serialization.Serializable
public data class UpstreamView(
    val upstream: UpstreamName,
    val pool: PoolName,
    val host: HostName,
    val place: PlaceName,
    val state: UpstreamState,
    val load: UpstreamLoad?,
    val inFlight: Int,
    val firstLatencyMicroseconds: Long,
    val tokenGapMicroseconds: Long,
)

/** Whether an upstream gets work. */
@kotlinx.serialization.Serializable
public enum class UpstreamState {
    SERVING,
    PROBATION,
    LEAVING,
    UNREACHABLE,
}
