package org.lovageladder.http.forward

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.OpenRequest
import org.lovageladder.http.HttpLimits
import org.lovageladder.http.ReceiveTimer
import org.lovageladder.http.STATUS_BAD_REQUEST
import org.lovageladder.http.STATUS_HEADERS_TOO_LARGE
import org.lovageladder.http.STATUS_REQUEST_TIMEOUT
import org.lovageladder.http.STATUS_TARGET_TOO_LONG
import org.tinylog.kotlin.Logger

/**
 * One caller's connection. It carries one request at a time; further ones that arrive meanwhile wait for their turn.
 * Runs on the event loop thread.
 */
internal class ForwardConnection(
    private val channel: Channel,
    limits: CallerLimits,
    private val wire: CallerWire,
    private val handler: ForwardHandler,
    private val draining: () -> Boolean,
) : SimpleChannelInboundHandler<FullHttpRequest>(false) {
    private val waiting = ArrayDeque<FullHttpRequest>()
    private val timer = ReceiveTimer(channel.eventLoop(), receiveLimits(limits), ::expired)
    private var current: ForwardReply? = null
    private var open: OpenRequest? = null

    override fun channelActive(context: ChannelHandlerContext) {
        timer.awaitRequest()
        context.fireChannelActive()
    }

    /** Bytes of a request arrived. */
    fun bytesArrived() {
        if (current == null) timer.bytesArrived()
    }

    /** Closes the connection unless it carries a request. */
    fun closeIfIdle() {
        channel.eventLoop().execute { if (current == null && waiting.isEmpty()) channel.close() }
    }

    /** Closes the connection. */
    fun close() {
        channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        if (current == null) {
            begin(request)
        } else if (waiting.size < WAITING_LIMIT) {
            waiting.add(request)
        } else {
            request.release()
            channel.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer.stop()
        waiting.forEach { it.release() }
        waiting.clear()
        val left = open
        open = null
        current?.callerLeft()
        left?.callerLeft()
    }

    @Deprecated("Deprecated in Netty's base class, but still the place for connection errors.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        Logger.debug { "a caller's connection from ${channel.remoteAddress()} failed: $cause" }
        channel.close()
    }

    private fun begin(request: FullHttpRequest) {
        timer.stop()
        val keepAlive = HttpUtil.isKeepAlive(request)
        val reply = ForwardReply(channel, request.method().name(), { keepAlive && !draining() }, ::ended)
        current = reply
        val fault = request.decoderResult().cause()
        if (fault != null) {
            request.release()
            reply.reject(statusOf(fault), fault.message.orEmpty())
            return
        }
        val received = received(request)
        request.release()
        val read = wire.read(received)
        if (read == null) {
            reply.reject(STATUS_BAD_REQUEST, "the request's identifier is missing or its headers are malformed")
            return
        }
        val taken = handler.forward(read, reply)
        if (current === reply) open = taken
    }

    private fun received(request: FullHttpRequest) = ReceivedRequest(
        method = request.method().name(),
        target = request.uri(),
        host = request.headers().get(HttpHeaderNames.HOST).orEmpty(),
        head = passedOn(request.headers()),
        body = ByteBufUtil.getBytes(request.content()),
    )

    /** The current request's answer is written; [keepAlive] tells whether the connection goes on. */
    private fun ended(keepAlive: Boolean) {
        current = null
        open = null
        if (!keepAlive) return
        val next = waiting.removeFirstOrNull()
        if (next == null) timer.awaitRequest() else channel.eventLoop().execute { beginOrDrop(next) }
    }

    private fun beginOrDrop(request: FullHttpRequest) {
        if (channel.isActive && current == null) begin(request) else request.release()
    }

    private fun expired(detail: String?) {
        if (detail == null || current != null) {
            channel.close()
            return
        }
        val reply = ForwardReply(channel, "GET", { false }, ::ended)
        current = reply
        reply.reject(STATUS_REQUEST_TIMEOUT, detail)
    }

    private fun statusOf(fault: Throwable): Int = when (fault) {
        is TooLongHttpHeaderException -> STATUS_HEADERS_TOO_LARGE
        is TooLongHttpLineException -> STATUS_TARGET_TOO_LONG
        else -> STATUS_BAD_REQUEST
    }

    private companion object {
        /** Requests that a caller may send ahead on one connection. */
        const val WAITING_LIMIT = 32

        fun receiveLimits(limits: CallerLimits) = HttpLimits(
            bodyBytes = limits.bodyBytes,
            headerBytes = limits.headerBytes,
            readIdle = limits.headerTimeout,
            keepAlive = limits.idleTimeout,
        )
    }
}
