package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.lovageladder.core.RequestId

/**
 * Writes one answer on a connection. [mayKeepAlive] is asked when the answer begins; [onEnd] is told, when the last
 * part is handed over, whether the connection stays open.
 */
internal class AnswerWriter(
    private val context: ChannelHandlerContext,
    private val unreadLimit: Int = Int.MAX_VALUE,
    private val mayKeepAlive: () -> Boolean,
    private val onEnd: (keptAlive: Boolean, written: ChannelFuture) -> Unit,
) {
    private var keepAlive = false

    /** Whether the head of a streamed answer was written. */
    var streaming: Boolean = false
        private set

    fun whole(status: Int, contentType: String?, body: String, fields: List<HttpField> = emptyList()) {
        val content = encode(body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        contentType?.let { response.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
        fields.forEach { response.headers().set(it.name, it.value) }
        HttpUtil.setContentLength(response, content.readableBytes().toLong())
        decideKeepAlive(response.headers())
        onEnd(keepAlive, context.writeAndFlush(response))
    }

    fun problem(problem: Problem, fields: List<HttpField> = emptyList()) {
        val retryAfter = problem.retryAfterSeconds?.let { HttpField("Retry-After", it.toString()) }
        whole(problem.status, PROBLEM_TYPE, problem.toJson(), fields + listOfNotNull(retryAfter))
    }

    fun beginStream() {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM_TYPE)
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
        response.headers().set(HttpHeaderNames.TRAILER, REQUEST_HEADER)
        HttpUtil.setTransferEncodingChunked(response, true)
        decideKeepAlive(response.headers())
        streaming = true
        context.write(response)
    }

    /** Writes an event; closes the connection instead when the caller leaves too much unread. */
    fun streamEvent(data: String) {
        val unread = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: return
        if (unread > unreadLimit) {
            context.close()
        } else {
            context.writeAndFlush(contentOf("data: $data\n\n"))
        }
    }

    fun endStream(request: RequestId) {
        val last = DefaultLastHttpContent()
        last.trailingHeaders().set(REQUEST_HEADER, request.text)
        onEnd(keepAlive, context.writeAndFlush(last))
    }

    /** Ends a stream with an error event; the connection closes without the end of the stream. */
    fun breakStream(problem: Problem) {
        onEnd(false, context.writeAndFlush(contentOf("event: error\ndata: ${problem.toJson()}\n\n")))
    }

    private fun contentOf(text: String) = DefaultHttpContent(encode(text))

    private fun encode(text: String): ByteBuf {
        val bytes = context.alloc().buffer(ByteBufUtil.utf8Bytes(text))
        ByteBufUtil.writeUtf8(bytes, text)
        return bytes
    }

    private fun decideKeepAlive(headers: HttpHeaders) {
        keepAlive = mayKeepAlive()
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }
}
