package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.lovageladder.core.FaultCause
import org.lovageladder.core.forward.CallPlace
import org.lovageladder.http.forward.CallPurpose
import kotlin.time.Duration

/** A header field of a request or answer. */
internal data class HttpField(val name: String, val value: String)

/**
 * A complete request. A `Host` header in [fields] replaces the default one, which is the address of the call. The call
 * fails as soon as its answer exceeds [maximumAnswerBytes]; with null, the limit of the function that sends the call
 * applies. [recognition] tells its answer from others. [beforeSending] is called on the event loop thread just before
 * the call is sent, and may cancel it. [purpose] is known of calls to upstreams only.
 */
internal class HttpCall(
    val method: HttpMethod,
    val path: String,
    val body: ByteArray = NO_BODY,
    val contentType: String? = null,
    val fields: List<HttpField> = emptyList(),
    val maximumAnswerBytes: Int? = null,
    val recognition: AnswerRecognition = AnswerRecognition.ByOrder,
    val beforeSending: () -> Unit = {},
    val purpose: CallPurpose? = null,
)

private val NO_BODY = ByteArray(0)

/** Which connection a call is sent on. */
internal enum class ConnectionUse {
    /** An idle pooled connection that may carry the call, or else a new one; returned to the pool afterwards. */
    POOLED,

    /**
     * A new connection. The peer may be closing a pooled one while the call is sent, and then it is unknown whether the
     * call ran.
     */
    FRESH,

    /** A new connection that is closed afterwards. */
    SINGLE,
}

/**
 * Why a call got no complete answer. When [requestSent] is false, no byte of the request can have reached the peer.
 * [place] is null when the call got no connection.
 */
internal data class HttpFailure(
    val cause: FaultCause,
    val requestSent: Boolean,
    val detail: String,
    val place: CallPlace? = null,
)

/** Receives one answer on an event loop thread, in order. The last callback is [onEnd] or [onFailure]. */
internal interface HttpReceiver {
    /** Called when the request is sent, before all other callbacks. */
    fun onSent(place: CallPlace) {}

    /** Called for each answer that was skipped before the one of this call. */
    fun onSkipped(skipped: SkippedAnswer) {}

    fun onHead(status: Int, headers: HttpHeaders)

    /** Called for each part of the body; [bytes] are released when it returns. */
    fun onContent(bytes: ByteBuf)

    fun onEnd()

    fun onFailure(failure: HttpFailure)
}

/** A complete answer. */
internal data class HttpAnswer(val status: Int, val headers: HttpHeaders, val body: String)

/** Result of a call whose answer is read completely. */
internal sealed interface HttpResult {
    data class Answered(val answer: HttpAnswer) : HttpResult

    data class Failed(val failure: HttpFailure) : HttpResult
}

/** Timeouts for the connection and, when set, for the end of the answer; both count from the start of the call. */
internal data class HttpTimeouts(val connectTimeout: Duration, val answerTimeout: Duration?)
