package org.lovageladder.http.forward

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.lovageladder.core.forward.AnswerHead
import org.lovageladder.core.forward.CallerReply
import org.lovageladder.core.forward.Refusal
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.http.STATUS_BAD_GATEWAY
import org.lovageladder.http.STATUS_GATEWAY_TIMEOUT
import org.lovageladder.http.STATUS_NOT_FOUND
import org.lovageladder.http.STATUS_UNAVAILABLE
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Writes the answer to one request. [mayKeepAlive] is asked when the answer begins; [onFinished] gets whether the
 * connection stays open for further requests, and when the answer is written; otherwise [closing] closes it once the
 * answer is written. Runs on the event loop thread.
 */
internal class ForwardReply(
    private val channel: Channel,
    private val output: CallerOutput,
    private val method: String,
    private val mayKeepAlive: () -> Boolean,
    private val onFinished: (keepAlive: Boolean, written: ChannelFuture) -> Unit,
    private val closing: ChannelFutureListener = ChannelFutureListener.CLOSE,
) : CallerReply {
    private var isFinished = false
    private var keepAlive = true

    /** The caller disconnected; nothing more is written. */
    fun onCallerDisconnected() {
        isFinished = true
    }

    override fun sendHead(head: AnswerHead, length: Int?) {
        if (isFinished) return
        keepAlive = mayKeepAlive()
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        head.headers.forEach { response.headers().add(it.name, it.value) }
        setFraming(response, length)
        if (length == null) output.writeAndFlush(response) else output.write(response)
    }

    override fun sendContent(bytes: ByteArray) {
        if (isFinished || method == "HEAD") return
        output.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    override fun finish() {
        if (isFinished) return
        isFinished = true
        finish(output.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
    }

    override fun refuse(refusal: Refusal) {
        if (isFinished) return
        keepAlive = mayKeepAlive()
        sendComplete(statusFor(refusal.reason), refusal.reason.name.lowercase(), refusal.retryAfter)
    }

    /** Answers a malformed or incomplete request with [status] and closes the connection. */
    fun reject(status: Int, detail: String) {
        if (isFinished) return
        keepAlive = false
        sendComplete(status, detail, retryAfter = null)
    }

    override fun abort() {
        if (isFinished) return
        isFinished = true
        channel.close()
    }

    /** Sends an answer of this process's own, with [detail] as its body. */
    private fun sendComplete(status: Int, detail: String, retryAfter: Duration?) {
        isFinished = true
        val content = Unpooled.wrappedBuffer("$detail\n".encodeToByteArray())
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        retryAfter?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, formatSeconds(it)) }
        setFraming(response, content.readableBytes())
        finish(output.writeAndFlush(response))
    }

    /** Sets the headers that mark the end of the body: chunked encoding when [length] is null. */
    private fun setFraming(response: HttpResponse, length: Int?) {
        val headers = response.headers()
        if (length == null) {
            HttpUtil.setTransferEncodingChunked(response, true)
        } else {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length)
        }
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finish(written: ChannelFuture) {
        if (!keepAlive) written.addListener(closing)
        onFinished(keepAlive, written)
    }

    private fun statusFor(reason: RefusalReason): Int = when (reason) {
        RefusalReason.NO_ROUTE -> STATUS_NOT_FOUND
        RefusalReason.UNKNOWN_KEY -> HttpResponseStatus.UNAUTHORIZED.code()
        RefusalReason.QUOTA_EXCEEDED -> HttpResponseStatus.TOO_MANY_REQUESTS.code()
        RefusalReason.NOT_READY,
        RefusalReason.LEAVING,
        RefusalReason.OVERLOADED,
        RefusalReason.REQUEST_SUSPECTED,
        RefusalReason.NO_UPSTREAM,
        RefusalReason.EXPIRED,
        RefusalReason.MEMORY_FULL,
        -> STATUS_UNAVAILABLE
        RefusalReason.REQUEST_QUARANTINED,
        RefusalReason.ANSWER_LOST,
        -> STATUS_BAD_GATEWAY
        RefusalReason.TIMEOUT -> STATUS_GATEWAY_TIMEOUT
    }

    private fun formatSeconds(duration: Duration) = "%.3f".format(Locale.ROOT, duration.toDouble(DurationUnit.SECONDS))
}
