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
 * Writes one answer to a connection. [mayKeepAlive] is evaluated when the answer starts. [onEnd] is called when the
 * last part has been passed to the channel, with whether the connection stays open and the future of that write. The
 * connection is closed when more than [maximumUnsentBytes] of a stream wait to be sent.
 */
internal class AnswerWriter(
    private val context: ChannelHandlerContext,
    private val maximumUnsentBytes: Int = Int.MAX_VALUE,
    private val mayKeepAlive: () -> Boolean,
    private val onEnd: (keptAlive: Boolean, written: ChannelFuture) -> Unit,
) {
    private var keepAlive = false

    /** Whether the head of a streamed answer has been written. */
    var streamStarted: Boolean = false
        private set

    fun writeWhole(status: Int, contentType: String?, body: String, fields: List<HttpField> = emptyList()) {
        val content = encode(body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        contentType?.let { response.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
        fields.forEach { response.headers().set(it.name, it.value) }
        HttpUtil.setContentLength(response, content.readableBytes().toLong())
        setKeepAlive(response.headers())
        onEnd(keepAlive, context.writeAndFlush(response))
    }

    fun writeProblem(problem: Problem, fields: List<HttpField> = emptyList()) {
        val retryAfter = problem.retryAfterSeconds?.let { HttpField("Retry-After", it.toString()) }
        writeWhole(problem.status, PROBLEM_TYPE, problem.toJson(), fields + listOfNotNull(retryAfter))
    }

    fun startStream() {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM_TYPE)
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
        response.headers().set(HttpHeaderNames.TRAILER, REQUEST_ID_HEADER)
        HttpUtil.setTransferEncodingChunked(response, true)
        setKeepAlive(response.headers())
        streamStarted = true
        context.write(response)
    }

    /** Writes an event; closes the connection instead when too many bytes wait because the caller does not read. */
    fun writeEvent(data: String) {
        val unsent = context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: return
        if (unsent > maximumUnsentBytes) {
            context.close()
        } else {
            context.writeAndFlush(contentOf("data: $data\n\n"))
        }
    }

    fun endStream(request: RequestId) {
        val last = DefaultLastHttpContent()
        last.trailingHeaders().set(REQUEST_ID_HEADER, request.text)
        onEnd(keepAlive, context.writeAndFlush(last))
    }

    /** Writes an error event and leaves the stream without its last chunk, so that the connection is closed. */
    fun abortStream(problem: Problem) {
        onEnd(false, context.writeAndFlush(contentOf("event: error\ndata: ${problem.toJson()}\n\n")))
    }

    private fun contentOf(text: String) = DefaultHttpContent(encode(text))

    private fun encode(text: String): ByteBuf {
        val bytes = context.alloc().buffer(ByteBufUtil.utf8Bytes(text))
        ByteBufUtil.writeUtf8(bytes, text)
        return bytes
    }

    private fun setKeepAlive(headers: HttpHeaders) {
        keepAlive = mayKeepAlive()
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }
}
