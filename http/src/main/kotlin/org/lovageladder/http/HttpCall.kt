package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.lovageladder.core.FaultCause
import kotlin.time.Duration

/** A header to send. */
internal data class HttpField(val name: String, val value: String)

/**
 * A request to send, whole. A `Host` among [fields] replaces the address that the call goes to. The call fails as soon
 * as its answer has more than [answerBytes]; null sets no bound of its own.
 */
internal class HttpCall(
    val method: HttpMethod,
    val path: String,
    val body: ByteArray = NO_BODY,
    val contentType: String? = null,
    val fields: List<HttpField> = emptyList(),
    val answerBytes: Int? = null,
)

private val NO_BODY = ByteArray(0)

/** Which connection carries a call. */
internal enum class ConnectionUse {
    /** An idle connection of the pool when there is one; returned to the pool afterwards. */
    POOLED,

    /** A connection of its own, so that it cannot meet a connection that the peer is closing. */
    FRESH,
}

/** Why a call got no whole answer. When [sent] is false, certainly no byte of the request reached the peer. */
internal data class HttpFailure(val cause: FaultCause, val sent: Boolean, val detail: String)

/** Receives an answer on an event loop thread, in order; the last call is [onEnd] or [onFailure]. */
internal interface HttpReceiver {
    /** Whether an answer with [headers] belongs to this call; any other is skipped. */
    fun isAnswer(headers: HttpHeaders): Boolean = true

    fun onHead(status: Int, headers: HttpHeaders)

    /** [bytes] are released after the call. */
    fun onContent(bytes: ByteBuf)

    fun onEnd()

    fun onFailure(failure: HttpFailure)
}

/** A whole answer. */
internal data class HttpAnswer(val status: Int, val headers: HttpHeaders, val body: String)

/** Result of a call whose answer is read whole. */
internal sealed interface HttpResult {
    data class Answered(val answer: HttpAnswer) : HttpResult

    data class Failed(val failure: HttpFailure) : HttpResult
}

/** How long to wait for a connection and, when set, for the end of the answer, both from the start of the call. */
internal data class HttpWait(val connect: Duration, val answer: Duration?)
