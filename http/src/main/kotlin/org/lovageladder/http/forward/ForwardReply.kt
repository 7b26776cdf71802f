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

/** Writes the answer to one request. [ended] is told whether the connection goes on. Runs on the event loop thread. */
internal class ForwardReply(
    private val channel: Channel,
    private val method: String,
    private val mayKeepAlive: () -> Boolean,
    private val ended: (Boolean) -> Unit,
) : CallerReply {
    private var over = false
    private var keepAlive = true

    /** The caller is gone; nothing more is written. */
    fun callerLeft() {
        over = true
    }

    override fun begin(head: AnswerHead, length: Int?) {
        if (over) return
        keepAlive = mayKeepAlive()
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        head.fields.forEach { response.headers().add(it.name, it.value) }
        frame(response, length)
        if (length == null) channel.writeAndFlush(response) else channel.write(response)
    }

    override fun content(bytes: ByteArray) {
        if (over || method == "HEAD") return
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0 > UNREAD_LIMIT) channel.close()
    }

    override fun end() {
        if (over) return
        over = true
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
    }

    override fun refuse(refusal: Refusal) {
        if (over) return
        keepAlive = mayKeepAlive()
        whole(statusOf(refusal.reason), refusal.reason.name.lowercase(), refusal.returnAfter)
    }

    /** Answers a request that is not well-formed and closes the connection. */
    fun reject(status: Int, detail: String) {
        if (over) return
        keepAlive = false
        whole(status, detail, returnAfter = null)
    }

    override fun abort() {
        if (over) return
        over = true
        channel.close()
    }

    private fun whole(status: Int, detail: String, returnAfter: Duration?) {
        over = true
        val content = Unpooled.wrappedBuffer("$detail\n".encodeToByteArray())
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        returnAfter?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(it)) }
        frame(response, content.readableBytes())
        finish(channel.writeAndFlush(response))
    }

    private fun frame(response: HttpResponse, length: Int?) {
        val headers = response.headers()
        if (length == null) {
            HttpUtil.setTransferEncodingChunked(response, true)
        } else {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length)
        }
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun finish(written: ChannelFuture) {
        if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
        ended(keepAlive)
    }

    private fun statusOf(reason: RefusalReason): Int = when (reason) {
        RefusalReason.NO_ROUTE -> STATUS_NOT_FOUND
        RefusalReason.NOT_READY,
        RefusalReason.LEAVING,
        RefusalReason.OVERLOADED,
        RefusalReason.NO_UPSTREAM,
        RefusalReason.EXPIRED,
        -> STATUS_UNAVAILABLE
        RefusalReason.ANSWER_LOST -> STATUS_BAD_GATEWAY
        RefusalReason.TIMEOUT -> STATUS_GATEWAY_TIMEOUT
    }

    private fun seconds(duration: Duration) = "%.3f".format(Locale.ROOT, duration.toDouble(DurationUnit.SECONDS))

    private companion object {
        /** Bytes that a caller may leave unread before it is given up. */
        const val UNREAD_LIMIT = 1_048_576L
    }
}
