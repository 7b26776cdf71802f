package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import kotlin.time.Duration

/*
 * Ports of the forwarding decisions: a caller's request and the way back to it, the upstreams, and time.
 */

/** A header as it was received. */
public data class HeaderField(val name: String, val value: String)

/**
 * A caller's request, whole. [fields] are the headers to pass on. [wait] is how long the caller waits from [arrived];
 * null when it did not say. [generation] is there when the request names a prompt.
 */
public class ForwardRequest(
    public val id: RequestId,
    public val method: String,
    public val target: String,
    public val host: String,
    public val fields: List<HeaderField>,
    public val body: ByteArray,
    public val arrived: Moment,
    public val wait: Duration?,
    public val generation: Generation?,
    public val resumeAfter: Long?,
)

/** Size of a generation in tokens. [expectedOutputTokens] is the caller's estimate, often far off. */
public data class Generation(val promptTokens: Int, val outputBound: Int, val expectedOutputTokens: Int?)

/**
 * Head of an upstream's answer. [notRun] is set when the upstream says that it did not run the request;
 * [wrongInstance] when another upstream has the address, and not merely another role. A success that is not [genuine]
 * lacks what proves that the upstream made it; it must not reach the caller.
 */
public class AnswerHead(
    public val status: Int,
    public val fields: List<HeaderField>,
    public val notRun: Boolean,
    public val wrongInstance: Boolean,
    public val load: LoadReport?,
    public val genuine: Boolean = true,
) {
    /** Whether the request succeeded. */
    public val success: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** Load that an upstream told of itself. [slowdown] is the time that work takes there against the usual, 1 as usual. */
public data class LoadReport(val running: Int, val waiting: Int, val slots: Int, val slowdown: Double)

/** Why a call to an upstream got no whole answer; [sent] is false when certainly nothing of it reached the upstream. */
public data class CallFailure(val cause: FaultCause, val sent: Boolean, val detail: String)

/** Receives an upstream's answer in order; the last call is [onEnd] or [onFailure]. */
public interface AnswerReceiver {
    /** The answer begins. */
    public fun onHead(head: AnswerHead)

    /** More of the body arrived. */
    public fun onContent(bytes: ByteArray)

    /** The answer is whole. */
    public fun onEnd()

    /** The answer will not become whole. */
    public fun onFailure(failure: CallFailure)
}

/** A call under way. */
public fun interface RunningCall {
    /** Breaks the call off; its receiver hears no more. */
    public fun cancel()
}

/** Identifier of memory that an engine reserved. */
@JvmInline
public value class Reservation(public val text: String)

/** A prefill's result, kept at [engine] under [handle]. */
public data class PrefillResult(val engine: UpstreamStart, val handle: String)

/** Outcome of a call that concerns an engine's memory. */
public sealed interface EngineAnswer<out Value> {
    /** The engine did what was asked. */
    public data class Done<Value>(val value: Value) : EngineAnswer<Value>

    /** The engine refused; nothing was done. [wrongInstance] when another upstream has the address. */
    public data class Refused(val status: Int, val wrongInstance: Boolean) : EngineAnswer<Nothing>

    /** No answer; the engine may have done it. */
    public data class Failed(val failure: CallFailure) : EngineAnswer<Nothing>
}

/** How a request is sent to an upstream. The upstream stops work after [timeout]. */
public data class Sending(
    val upstream: UpstreamStart,
    val timeout: Duration,
    val prefill: PrefillResult? = null,
    val reservation: Reservation? = null,
    val resumeAfter: Long? = null,
) {
    /** Where it is sent. */
    val address: Address get() = upstream.address
}

/**
 * Calls to upstreams. Answers arrive on the thread that owns the decisions; what any of them says of the upstream's
 * wish for requests is given to [Forwarder.noticed] first.
 */
public interface UpstreamCalls {
    /** Sends a caller's request. */
    public fun send(request: ForwardRequest, sending: Sending, receiver: AnswerReceiver): RunningCall

    /** Has an engine read the prompt of [request] without running it. */
    public fun prefill(
        request: ForwardRequest,
        sending: Sending,
        answer: (EngineAnswer<PrefillResult>) -> Unit,
    ): RunningCall

    /** Reserves a slot and memory for [tokens] at an engine for [keep]. */
    public fun reserve(
        engine: UpstreamStart,
        tokens: Int,
        keep: Duration,
        answer: (EngineAnswer<Reservation>) -> Unit,
    ): RunningCall

    /** Gives up a reservation that no request used. */
    public fun release(engine: UpstreamStart, reservation: Reservation)

    /** Frees a prefill's result that no request took. */
    public fun free(result: PrefillResult)
}

/** Way back to a caller. Exactly one of [refuse], [end] and [abort] is called, and nothing after it. */
public interface CallerReply {
    /** Begins the answer with an upstream's [head]; [length] is the length of its body when it is known. */
    public fun begin(head: AnswerHead, length: Int?)

    /** Passes on a part of the body. */
    public fun content(bytes: ByteArray)

    /** Ends the answer; it is whole. */
    public fun end()

    /** Answers with a failure of this process's own. */
    public fun refuse(refusal: Refusal)

    /** Breaks off, so that the answer cannot look whole. */
    public fun abort()
}

/** A failure that this process answers itself. */
public data class Refusal(val reason: RefusalReason, val returnAfter: Duration? = null)

/** Reasons of [Refusal]; [notRun] is told to callers, who may then send the request again. */
public enum class RefusalReason(public val notRun: Boolean) {
    /** No route leads anywhere from the request's host and path. */
    NO_ROUTE(false),

    /** The process has no configuration yet. */
    NOT_READY(true),

    /** This process is about to end; another entry takes the request. */
    LEAVING(true),

    /** The upstreams cannot take the request in time. */
    OVERLOADED(true),

    /** No upstream is known, or none could be reached. */
    NO_UPSTREAM(true),

    /** The request may have run, and its answer was lost. */
    ANSWER_LOST(false),

    /** The request was sent and not answered in time. */
    TIMEOUT(false),

    /** The request was not sent in time. */
    EXPIRED(true),
}

/** Time for the decisions. */
public interface Scheduler {
    /** Current time. */
    public fun now(): Moment

    /** Runs [action] after [delay] unless the returned call is cancelled before. */
    public fun after(delay: Duration, action: () -> Unit): RunningCall
}
