package org.lovageladder.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.NetUtil
import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One client connection and the call that it carries now. Runs on its event loop thread. */
internal class HttpClientConnection(private val idle: IdleConnections) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var context: ChannelHandlerContext
    private var current: RunningHttpCall? = null
    private var address: Address? = null
    private var keepAlive = true
    private var skipping = false
    private var idleLimit: Duration? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    /** Sends the request of [running]; the connection carries no other call. */
    fun begin(running: RunningHttpCall) {
        if (running.isOver) {
            context.close()
            return
        }
        val request = encodeOrFail(running) ?: return
        current = running
        address = running.address
        running.begin(context.channel())
        context.writeAndFlush(request).addListener { written ->
            if (!written.isSuccess) {
                lose(written.cause())
                context.close()
            }
        }
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        val running = current
        if (running == null || message.decoderResult().isFailure) {
            breakOff(message.decoderResult().cause())
            return
        }
        if (message is HttpResponse) head(running, message)
        if (message is HttpContent && !skipping) {
            running.content(message.content())
            if (message is LastHttpContent) finish(running)
        }
    }

    /** Begins the answer, or skips it when it is a provisional one or belongs to another call. */
    private fun head(running: RunningHttpCall, response: HttpResponse) {
        val informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val foreign = !informational && !running.isAnswer(response.headers())
        skipping = informational || foreign
        if (foreign) keepAlive = false
        if (skipping) return
        keepAlive = keepAlive && HttpUtil.isKeepAlive(response)
        idleLimit = announcedIdleLimit(response)
        running.head(response.status().code(), response.headers())
    }

    /** Time that the peer keeps an idle connection, as its `Keep-Alive` header says; null when it says none. */
    private fun announcedIdleLimit(response: HttpResponse): Duration? {
        val field = response.headers().get("Keep-Alive") ?: return null
        return KEEP_ALIVE_TIMEOUT.find(field)?.groupValues?.get(1)?.toLongOrNull()?.seconds
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        address?.let { idle.remove(it, context.channel()) }
        lose(null)
    }

    @Deprecated("Deprecated in Netty's base class, but still the place for connection errors.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        lose(cause)
        context.close()
    }

    private fun finish(running: RunningHttpCall) {
        current = null
        if (running.isOver || !keepAlive) {
            context.close()
        } else {
            idle.give(running.address, context.channel(), idleLimit)
        }
        running.end()
    }

    private fun breakOff(cause: Throwable?) {
        val detail = "the answer is not HTTP: ${cause?.message ?: "unexpected data"}"
        val running = current
        current = null
        running?.fail(HttpFailure(FaultCause.PROTOCOL, sent = true, detail = detail))
        context.close()
    }

    private fun lose(cause: Throwable?) {
        val running = current ?: return
        current = null
        val detail = cause?.message ?: "the connection closed before the answer ended"
        running.fail(HttpFailure(FaultCause.CONNECTION_LOST, sent = true, detail = detail))
    }

    /** Null when the call has a path or header that HTTP does not allow. */
    private fun encodeOrFail(running: RunningHttpCall): FullHttpRequest? = try {
        encode(running)
    } catch (invalid: IllegalArgumentException) {
        context.close()
        running.fail(HttpFailure(FaultCause.PROTOCOL, sent = false, detail = invalid.message.orEmpty()))
        null
    }

    private fun encode(running: RunningHttpCall): FullHttpRequest {
        val call = running.call
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        call.contentType?.let { headers.set(HttpHeaderNames.CONTENT_TYPE, it) }
        call.fields.forEach { headers.add(it.name, it.value) }
        if (!headers.contains(HttpHeaderNames.HOST)) {
            headers.set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(running.address.ip, running.address.port))
        }
        headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method, call.path, headers)
        val body = Unpooled.wrappedBuffer(call.body)
        val trailers = DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders()
        return DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body, headers, trailers)
    }

    private companion object {
        val KEEP_ALIVE_TIMEOUT = Regex("timeout=(\\d+)")
    }
}
