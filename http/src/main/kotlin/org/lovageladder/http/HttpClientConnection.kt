package org.lovageladder.http

import io.netty.buffer.ByteBufUtil
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

/** One client connection and the call that it carries now. Runs on its event loop thread. */
internal class HttpClientConnection(private val idle: IdleConnections) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var context: ChannelHandlerContext
    private var current: RunningHttpCall? = null
    private var address: Address? = null
    private var keepAlive = true
    private var informational = false

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
        if (message is HttpResponse) {
            informational = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (!informational) {
                keepAlive = HttpUtil.isKeepAlive(message)
                running.head(message.status().code(), message.headers())
            }
        }
        if (message is HttpContent && !informational) {
            running.content(message.content())
            if (message is LastHttpContent) finish(running)
        }
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
            idle.give(running.address, context.channel())
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
        headers.set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(running.address.ip, running.address.port))
        call.contentType?.let { headers.set(HttpHeaderNames.CONTENT_TYPE, it) }
        call.fields.forEach { headers.set(it.name, it.value) }
        headers.set(HttpHeaderNames.CONTENT_LENGTH, ByteBufUtil.utf8Bytes(call.body))
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method, call.path, headers)
        val body = context.alloc().buffer(ByteBufUtil.utf8Bytes(call.body))
        ByteBufUtil.writeUtf8(body, call.body)
        val trailers = DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders()
        return DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body, headers, trailers)
    }
}
