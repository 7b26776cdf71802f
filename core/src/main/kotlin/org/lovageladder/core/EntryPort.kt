package org.lovageladder.core

import kotlin.time.Duration

/*
 * Events and effects of an entry's decisions. The decisions do no input or output: the process passes each event to
 * [EntryDecisions.handle] on its control thread and carries out the returned effects in order.
 */

/** State machine of an entry: each event at a time yields effects. Confined to one thread. */
public interface EntryDecisions {
    /** Whether this entry has a release and accepts requests. */
    public val isReady: Boolean

    /** Version of the applied release, sent with every message. */
    public val release: ReleaseVersion

    /** Handles [event] at [now] and returns its effects in order. [now] must not decrease between calls. */
    public fun handle(event: EntryEvent, now: Moment): List<EntryEffect>

    /** Time by which [EntryEvent.TimePassed] must be delivered; null when no timer is set. */
    public fun nextDeadline(): Moment?

    /** Status of this entry for operators. */
    public fun status(now: Moment): EntryStatus
}

/** Input of an entry. */
public sealed interface EntryEvent {
    /** A caller submitted a request. */
    public data class Submitted(val exchange: ExchangeId, val submission: Submission) : EntryEvent

    /** The caller closed its connection or cancelled the request. */
    public data class CallerDisconnected(val exchange: ExchangeId) : EntryEvent

    /** A connection is established and the companion's first message has arrived. */
    public data class Connected(val connection: ConnectionId, val welcome: PeerMessage.Welcome) : EntryEvent

    /** The connection to [host] was closed or could not be established. */
    public data class Disconnected(val connection: ConnectionId, val host: HostName, val fault: Fault) : EntryEvent

    /** A message arrived on a connection. */
    public data class Received(val connection: ConnectionId, val envelope: Envelope) : EntryEvent

    /** The answer to [EntryEffect.CallStore] with the same number. */
    public data class StoreAnswered(val callNumber: Long, val answer: StoreAnswer) : EntryEvent

    /** The watch of release notes delivered a note. */
    public data class NoteReceived(val note: AcceptedNote) : EntryEvent

    /** The platform's host list was read. */
    public data class HostsListed(val hosts: List<ListedHost>) : EntryEvent

    /** The process was asked to stop: requests in flight are finished and new ones are refused. */
    public data object StopRequested : EntryEvent

    /** The time returned by [EntryDecisions.nextDeadline] was reached. */
    public data object TimePassed : EntryEvent
}

/** Output of an entry, carried out by its process. */
public sealed interface EntryEffect {
    /** Sends one token to a caller. Each index from 0 is sent once, in order. */
    public data class SendToken(val exchange: ExchangeId, val index: Int, val text: String) : EntryEffect

    /** Sends a caller its outcome. It is the last effect of this exchange. */
    public data class SendOutcome(val exchange: ExchangeId, val request: RequestId, val outcome: Outcome) : EntryEffect

    /** Connects to a companion; answered by [EntryEvent.Connected] or [EntryEvent.Disconnected]. */
    public data class Connect(val connection: ConnectionId, val host: HostName, val address: Address) : EntryEffect

    /** Closes a connection at once. */
    public data class Disconnect(val connection: ConnectionId) : EntryEffect

    /** Sends a message on a connection; it is dropped if the connection is closed. */
    public data class Send(val connection: ConnectionId, val message: PeerMessage) : EntryEffect

    /** Calls the key-value service; answered by [EntryEvent.StoreAnswered]. */
    public data class CallStore(val callNumber: Long, val request: StoreRequest, val timeout: Duration) : EntryEffect

    /** Starts or ends the watch of release notes, as [watching] says. */
    public data class WatchNotes(val watching: Boolean) : EntryEffect

    /** Adds an event to the time line. */
    public data class Record(val event: EventDraft) : EntryEffect

    /** All requests are finished after [EntryEvent.StopRequested]; the process may exit. */
    public data object Exit : EntryEffect
}

/** Status of an entry for operators. */
@kotlinx.serialization.Serializable
public data class EntryStatus(
    val ready: Boolean,
    val draining: Boolean,
    val release: ReleaseVersion,
    val requestsInFlight: Int,
    val connectedHosts: List<HostName>,
    val upstreams: List<UpstreamView>,
)

/**
 * Status of an upstream at one entry. [firstLatencyMicroseconds] is the smoothed time to the first token of a decode or
 * to the whole answer of a plain call.
 */
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

/** Whether an upstream gets requests. */
@kotlinx.serialization.Serializable
public enum class UpstreamState {
    SERVING,
    PROBATION,
    LEAVING,
    UNREACHABLE,
}
