package org.lovageladder.standin

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.nio.charset.StandardCharsets

/** One request and its single answer. Confined to the stand-in's thread. */
internal class HttpExchange(val request: HttpRequest, private val channel: Channel, private val onEnded: () -> Unit) {
    private val extraHeaders = LinkedHashMap<String, String>()
    private var hasEnded = false

    /** Called once when the caller disconnects before the answer has ended. */
    var onDisconnect: () -> Unit = {}

    val isOpen: Boolean
        get() = !hasEnded && channel.isActive

    /** Adds a header to the answer; has no effect after the answer's headers are sent. */
    fun addHeader(name: String, value: String) {
        extraHeaders[name] = value
    }

    /** Sends a complete answer, unless the exchange is over. */
    fun answer(body: String, status: Int = HttpResponseStatus.OK.code(), contentType: String = JSON_TYPE) {
        if (!isOpen) {
            return
        }
        val content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
        HttpUtil.setContentLength(response, content.readableBytes().toLong())
        setHeaders(response.headers(), contentType)
        finish(response)
    }

    /** Starts an answer of unknown length, continued by [write] and ended by [end]. */
    fun startStream(contentType: String) {
        if (!isOpen) {
            return
        }
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        HttpUtil.setTransferEncodingChunked(response, true)
        setHeaders(response.headers(), contentType)
        channel.writeAndFlush(response)
    }

    fun write(text: String): Unit = write(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)) {}

    /** Sends [bytes] and calls [onWritten] once they are written; releases them if the exchange has ended. */
    fun write(bytes: ByteBuf, onWritten: () -> Unit) {
        if (!isOpen) {
            bytes.release()
            return
        }
        channel.writeAndFlush(DefaultHttpContent(bytes)).addListener { written ->
            if (written.isSuccess) onWritten()
        }
    }

    fun end() {
        if (isOpen) {
            finish(DefaultLastHttpContent())
        }
    }

    fun refuse(refused: RequestRefused) {
        answer(refused.body(), refused.status)
    }

    fun usesConnection(connection: Channel): Boolean = connection === channel

    /** Closes the connection abruptly, without an answer or without the rest of one. */
    fun abort() {
        hasEnded = true
        channel.closeAbruptly()
    }

    fun onConnectionClosed() {
        if (!hasEnded) {
            hasEnded = true
            onDisconnect()
        }
    }

    private fun setHeaders(headers: HttpHeaders, contentType: String) {
        headers.set(HttpHeaderNames.CONTENT_TYPE, contentType)
        extraHeaders.forEach { (name, value) -> headers.set(name, value) }
        if (!request.keepAlive) {
            headers.set(HttpHeaderNames.CONNECTION, "close")
        }
    }

    private fun finish(last: Any) {
        hasEnded = true
        val written = channel.writeAndFlush(last)
        if (!request.keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE)
        }
        onEnded()
    }

    companion object {
        const val JSON_TYPE: String = "application/json"
        const val EVENT_STREAM_TYPE: String = "text/event-stream"
        const val OCTET_STREAM_TYPE: String = "application/octet-stream"
    }
}
