package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import org.lovageladder.core.forward.customer.Customer
import org.lovageladder.core.forward.customer.CustomerKey
import kotlin.time.Duration

/*
 * Ports of the forwarder: the request of a caller and the reply to it, calls to upstreams, and the scheduler.
 */

/** A header field as it was received. */
public data class HeaderField(val name: String, val value: String)

/** A caller's connection. */
public fun interface ArrivalReader {
    /** Reads what has arrived. A close among it is told to the [RequestHandle] before this returns. */
    public fun readArrived()

    /** Whether so much of the answer is unread that no more of it should be read from its upstream. */
    public val isCongested: Boolean get() = false

    /** Runs [action] when the caller has read on, in place of an earlier action. Only while [isCongested]. */
    public fun onWritable(action: () -> Unit): Unit = action()
}

/**
 * A complete request of a caller. [headers] are to be passed on. [callerTimeout] is how long the caller waits from
 * [arrivedAt] on, null when it gave no time. [generation] is null when the request names no prompt.
 * [resumeAfterEventId] is the id of the last event that the caller received of an earlier stream. The request came on
 * [connection], with [key] if the caller sent one.
 */
public class ForwardRequest(
    public val id: RequestId,
    public val method: String,
    public val target: String,
    public val host: String,
    public val headers: List<HeaderField>,
    public val body: ByteArray,
    public val arrivedAt: Moment,
    public val callerTimeout: Duration?,
    public val generation: Generation?,
    public val resumeAfterEventId: EventId?,
    public val connection: ArrivalReader = ArrivalReader {},
    public val key: CustomerKey? = null,
) {
    /** The customer to which [key] belongs; null until it was looked up, and when there is none. */
    public var customer: Customer? = null
        internal set

    /**
     * Whether the headers by which callers identify themselves are passed on to upstreams as received, which is so only
     * while no customers are configured.
     */
    public var mayPassIdentity: Boolean = false
        internal set

    /** What the request asks for as a whole. Read on demand only, since it takes a pass over the body. */
    internal val digest: RequestTrait by lazy(LazyThreadSafetyMode.NONE) { digestOf(this) }

    /** Shared parts of the prompt; none if the request has no prompt. */
    internal val sharedParts: List<RequestTrait> get() = generation?.sharedParts.orEmpty()
}

/**
 * Size and prompt of a generation. [estimatedOutputTokens] is the estimate of the caller, often far off.
 * [sharedParts] are the parts of the prompt that other requests may have as well.
 */
public data class Generation(
    val promptTokens: Int,
    val maximumOutputTokens: Int,
    val estimatedOutputTokens: Int?,
    val sharedParts: List<RequestTrait> = emptyList(),
)

/**
 * Head of an upstream's answer. [isDeclined] is set when the upstream declined the request without running it.
 * [isWrongInstance] is set when another upstream uses the address now, as opposed to the same one in another role. A
 * success that is not [isGenuine] lacks the proof that the expected upstream produced it, and must not reach the
 * caller. An answer that [endsWithConnection] has neither a length nor chunks, so that its end does not show whether it
 * is complete. [origin] is null when it is not known where the answer came from.
 */
public class AnswerHead(
    public val status: Int,
    public val headers: List<HeaderField>,
    public val isDeclined: Boolean,
    public val isWrongInstance: Boolean,
    public val load: LoadReport?,
    public val isGenuine: Boolean = true,
    public val endsWithConnection: Boolean = false,
    public val origin: AnswerOrigin? = null,
) {
    /** Status and origin as text for the log. */
    internal val summary: String get() = "status=$status ${origin ?: "origin=unknown"}"

    /** Whether the status reports success. */
    public val isSuccess: Boolean get() = status in SUCCESS_STATUSES

    /** Whether the body is a stream of events. */
    public val isEventStream: Boolean
        get() = headers.any { it.name.equals(CONTENT_TYPE, ignoreCase = true) && isEventStreamType(it.value) }

    private fun isEventStreamType(value: String) =
        value.substringBefore(';').trim().equals(EVENT_STREAM_TYPE, ignoreCase = true)

    private companion object {
        const val CONTENT_TYPE = "Content-Type"
        const val EVENT_STREAM_TYPE = "text/event-stream"
        val SUCCESS_STATUSES = 200..299
    }
}

/** One call to an upstream: the number of its [connection] in this process and of the [call] on it, both from 1. */
public data class CallPlace(val connection: Long, val call: Int) {
    override fun toString(): String = "connection=$connection call=$call"
}

/** Which request an answer names. One that names another request does not count as an answer. */
public enum class AnswerIdentifier(private val text: String) {
    OWN("own"),
    NONE("none"),
    ;

    override fun toString(): String = text
}

/** Which call an answer came to, which request it names, and whether it bears the signature of an upstream. */
public data class AnswerOrigin(val place: CallPlace, val identifier: AnswerIdentifier, val isSigned: Boolean) {
    override fun toString(): String = "$place identifier=$identifier signed=$isSigned"
}

/**
 * Load reported by an upstream. [slowdownFactor] is its processing time relative to the usual one: 1 is normal, 2 is
 * half as fast.
 */
public data class LoadReport(
    val runningRequests: Int,
    val waitingRequests: Int,
    val slots: Int,
    val slowdownFactor: Double,
)

/**
 * Why a call to an upstream ended without a complete answer. [sent] is false only when no part of the request can have
 * reached the upstream. [place] is null when the call got no connection, or is not known here.
 */
public data class CallFailure(
    val cause: FaultCause,
    val sent: Boolean,
    val detail: String,
    val place: CallPlace? = null,
) {
    /** Whether the upstream may have crashed while it ran the request. */
    internal val mayBeCrash: Boolean get() = sent && cause == FaultCause.CONNECTION_LOST
}

/** Receives an upstream's answer in order. [onEnd] or [onFailure] is the last call. */
public interface AnswerReceiver {
    /** Receives the head of the answer. */
    public fun onHead(head: AnswerHead)

    /** Receives the next part of the body. */
    public fun onContent(bytes: ByteArray)

    /** The answer is complete. */
    public fun onEnd()

    /** The answer ended incomplete. */
    public fun onFailure(failure: CallFailure)
}

/** A call in progress. */
public fun interface Cancellable {
    /** Cancels the call. Its receiver or callback is not called afterwards. */
    public fun cancel()
}

/** Identifier of a memory reservation at an engine. */
@JvmInline
public value class Reservation(public val id: String)

/** The result of a prefill, which [engine] keeps under [handle]. */
public data class PrefillResult(val engine: UpstreamIncarnation, val handle: String)

/** Outcome of a call about the memory of an engine. */
public sealed interface EngineAnswer<out Value> {
    /** The engine did what was asked. */
    public data class Done<Value>(val value: Value) : EngineAnswer<Value>

    /** The engine refused and did nothing. [isWrongInstance] is set when another upstream uses the address now. */
    public data class Refused(val status: Int, val isWrongInstance: Boolean) : EngineAnswer<Nothing>

    /** No answer; the engine may have done what was asked. */
    public data class Failed(val failure: CallFailure) : EngineAnswer<Nothing>
}

/**
 * How a request is sent to an upstream. The upstream stops working on it after [timeout]. [prefillResult] is the result
 * to fetch, [reservation] the memory to use, and [resumeAfterEventId] the id of the event after which the stream
 * begins.
 */
public data class UpstreamAttempt(
    val upstream: UpstreamIncarnation,
    val timeout: Duration,
    val prefillResult: PrefillResult? = null,
    val reservation: Reservation? = null,
    val resumeAfterEventId: EventId? = null,
) {
    /** Address of the upstream. */
    val address: Address get() = upstream.address
}

/**
 * Calls to upstreams. Answers arrive on the thread of the [Forwarder]. A notice in any of them is passed to
 * [Forwarder.onUpstreamNotice] before the answer.
 */
public interface UpstreamPort {
    /** Sends the request of a caller. */
    public fun send(request: ForwardRequest, attempt: UpstreamAttempt, receiver: AnswerReceiver): Cancellable

    /** Lets an engine prefill the prompt of [request] without decoding. */
    public fun prefill(
        request: ForwardRequest,
        attempt: UpstreamAttempt,
        answer: (EngineAnswer<PrefillResult>) -> Unit,
    ): Cancellable

    /** Reserves a slot and memory for [tokens] tokens at [engine] for [reservationTime]. */
    public fun reserve(
        engine: UpstreamIncarnation,
        tokens: Int,
        reservationTime: Duration,
        answer: (EngineAnswer<Reservation>) -> Unit,
    ): Cancellable

    /** Releases a reservation that no request used. */
    public fun releaseReservation(engine: UpstreamIncarnation, reservation: Reservation)

    /**
     * Asks [upstream] on a new connection whether it still runs: at [healthPath], or an engine for its state when that
     * is null. [answer] gets true only if this incarnation answered.
     */
    public fun checkRunning(upstream: UpstreamIncarnation, healthPath: String?, answer: (Boolean) -> Unit): Cancellable

    /** Frees a prefill result that no decode fetched. */
    public fun freePrefillResult(result: PrefillResult)
}

/** Reply to a caller. Exactly one of [refuse], [finish] and [abort] is called, and nothing after it. */
public interface CallerReply {
    /**
     * Begins the answer with the [head] from an upstream. [length] is the body length in bytes, null when it is
     * unknown.
     */
    public fun sendHead(head: AnswerHead, length: Int?)

    /** Passes on the next part of the body. */
    public fun sendContent(bytes: ByteArray)

    /** Ends a complete answer. */
    public fun finish()

    /** Answers with an error of this process instead of an answer from an upstream. */
    public fun refuse(refusal: Refusal)

    /** Closes the connection so that the caller sees that the answer is incomplete. */
    public fun abort()
}

/** An error answer of this process. The caller should return after [retryAfter]. */
public data class Refusal(val reason: RefusalReason, val retryAfter: Duration? = null)

/**
 * Why there is no memory for a request of at least [requestBytes]: all requests hold [heldBytes] of [maximumBytes], a
 * part of which is kept for small ones.
 */
public data class RequestMemory(val requestBytes: Long, val heldBytes: Int, val maximumBytes: Int)

/** Reason of a [Refusal]. [isNotRun] is reported to the caller, which may then send the request again. */
public enum class RefusalReason(public val isNotRun: Boolean) {
    /** No route matches the host and path of the request. */
    NO_ROUTE(false),

    /** The route needs a key, and the request has none that belongs to a customer. */
    UNKNOWN_KEY(false),

    /** The customer has used up its quota. */
    QUOTA_EXCEEDED(true),

    /** The process has no configuration or no upstream list yet. */
    NOT_READY(true),

    /** This process is shutting down; another entry can take the request. */
    LEAVING(true),

    /** The upstreams have no capacity for the request in time. */
    OVERLOADED(true),

    /** The request may crash upstreams; a trial will show whether it does. */
    REQUEST_SUSPECTED(true),

    /** The request crashes upstreams. It was not sent, but a promise of that would make the caller return in vain. */
    REQUEST_QUARANTINED(false),

    /** No upstream is known, or none could be reached. */
    NO_UPSTREAM(true),

    /** The request may have run, but its answer was lost or damaged. */
    ANSWER_LOST(false),

    /** The request was sent, but not answered in time. */
    TIMEOUT(false),

    /** The request could not be sent in time. */
    EXPIRED(true),

    /** The requests that this process holds leave no memory for the request, which was not received whole. */
    MEMORY_FULL(true),
}

/** Clock and timers of the forwarder. */
public interface Scheduler {
    /** Current time. */
    public fun now(): Moment

    /** Runs [action] after [delay] unless the returned call is cancelled first. */
    public fun schedule(delay: Duration, action: () -> Unit): Cancellable
}
