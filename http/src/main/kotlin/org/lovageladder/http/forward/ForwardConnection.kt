package org.lovageladder.http.forward

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.AbstractNioChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.RequestHandle
import org.lovageladder.http.HttpLimits
import org.lovageladder.http.ReceiveTimer
import org.lovageladder.http.STATUS_BAD_REQUEST
import org.lovageladder.http.STATUS_HEADERS_TOO_LARGE
import org.lovageladder.http.STATUS_REQUEST_TIMEOUT
import org.lovageladder.http.STATUS_URI_TOO_LONG
import org.tinylog.kotlin.Logger

/**
 * A caller's connection. Handles one request at a time; pipelined requests wait in order, and the connection is closed
 * when there are too many of them. A request starts after all that has arrived on the connection was read: when the
 * event loop was held up, the caller may have closed the connection since, and its request is dropped. While the
 * process is draining, the connection is closed after an answer behind which no request waits. Runs on the event loop
 * thread, except for [closeIfIdle] and [close].
 */
internal class ForwardConnection(
    private val channel: Channel,
    limits: CallerLimits,
    private val parser: CallerRequestParser,
    private val handler: ForwardHandler,
    private val isDraining: () -> Boolean,
) : SimpleChannelInboundHandler<FullHttpRequest>(false) {
    private val pipelined = ArrayDeque<FullHttpRequest>()
    private val receiveTimer = ReceiveTimer(channel.eventLoop(), toHttpLimits(limits), ::onReceiveTimeout)
    private var currentReply: ForwardReply? = null
    private var openRequest: RequestHandle? = null

    override fun channelActive(context: ChannelHandlerContext) {
        // The close is told before other work of this turn of the event loop; channelInactive would come after it.
        channel.closeFuture().addListener { onClosed() }
        receiveTimer.awaitRequest()
        context.fireChannelActive()
    }

    /** Called when bytes of a request arrived, before they are decoded. */
    fun onBytesReceived() {
        if (currentReply == null) receiveTimer.onBytesArrived()
    }

    /** Whether no request is in progress or waits, and all answers are handed to the operating system. */
    val isIdle: Boolean
        get() = currentReply == null && pipelined.isEmpty() && !hasUnwrittenAnswer()

    /** Closes the connection if it [isIdle], at once when called on the event loop thread. */
    fun closeIfIdle() {
        if (!channel.eventLoop().inEventLoop()) {
            channel.eventLoop().execute(::closeIfIdle)
        } else if (isIdle) {
            channel.close()
        }
    }

    private fun hasUnwrittenAnswer(): Boolean {
        val buffer = channel.unsafe().outboundBuffer() ?: return false
        return buffer.totalPendingWriteBytes() > 0
    }

    /** Closes the connection. May be called on any thread. */
    fun close() {
        channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        val startable = if (currentReply == null) 1 else 0
        if (pipelined.size >= MAXIMUM_PIPELINED_REQUESTS + startable) {
            request.release()
            channel.close()
            return
        }
        pipelined.add(request)
        if (currentReply == null && pipelined.size == 1) channel.eventLoop().execute(::startNext)
    }

    private fun onClosed() {
        receiveTimer.stop()
        pipelined.forEach { it.release() }
        pipelined.clear()
        val request = openRequest
        openRequest = null
        currentReply?.onCallerDisconnected()
        request?.onCallerDisconnected()
    }

    @Deprecated("Deprecated in Netty's base class, but still the place to handle connection errors.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        Logger.debug { "connection of caller ${channel.remoteAddress()} failed: $cause" }
        channel.close()
    }

    private fun startRequest(request: FullHttpRequest) {
        receiveTimer.stop()
        val keepAlive = HttpUtil.isKeepAlive(request)
        val mayKeepAlive = { keepAlive && (!isDraining() || pipelined.isNotEmpty()) }
        val reply = ForwardReply(channel, request.method().name(), mayKeepAlive, ::onReplyFinished)
        currentReply = reply
        val fault = request.decoderResult().cause()
        if (fault != null) {
            request.release()
            reply.reject(statusFor(fault), fault.message.orEmpty())
            return
        }
        val received = toUnparsedRequest(request)
        request.release()
        val parsed = parser.parse(received)
        if (parsed == null) {
            reply.reject(STATUS_BAD_REQUEST, "the request's identifier is missing or its headers are malformed")
            return
        }
        val opened = handler.forward(parsed, reply)
        if (currentReply === reply) openRequest = opened
    }

    private fun toUnparsedRequest(request: FullHttpRequest) = UnparsedRequest(
        method = request.method().name(),
        target = request.uri(),
        host = request.headers().get(HttpHeaderNames.HOST).orEmpty(),
        fields = endToEndFields(request.headers()),
        body = ByteBufUtil.getBytes(request.content()),
        connection = ::readArrived,
    )

    /** Reads what has arrived, which may be the close of a caller that left while the event loop was busy. */
    private fun readArrived() {
        if (channel.isActive) (channel.unsafe() as AbstractNioChannel.NioUnsafe).read()
    }

    /** The answer to the current request was written; [keepAlive] tells whether the connection stays open. */
    private fun onReplyFinished(keepAlive: Boolean) {
        currentReply = null
        openRequest = null
        if (!keepAlive) return
        if (pipelined.isEmpty()) receiveTimer.awaitRequest() else channel.eventLoop().execute(::startNext)
    }

    /** Starts the request that waits longest; it stays in the queue until then, so that no later one overtakes it. */
    private fun startNext() {
        if (channel.isActive && currentReply == null) pipelined.removeFirstOrNull()?.let(::startRequest)
    }

    /** [detail] says which part of a request was late; null when no request had begun. */
    private fun onReceiveTimeout(detail: String?) {
        if (detail == null || currentReply != null) {
            channel.close()
            return
        }
        val reply = ForwardReply(channel, "GET", { false }, ::onReplyFinished)
        currentReply = reply
        reply.reject(STATUS_REQUEST_TIMEOUT, detail)
    }

    private fun statusFor(fault: Throwable): Int = when (fault) {
        is TooLongHttpHeaderException -> STATUS_HEADERS_TOO_LARGE
        is TooLongHttpLineException -> STATUS_URI_TOO_LONG
        else -> STATUS_BAD_REQUEST
    }

    private companion object {
        /** Pipelined requests that may wait on one connection. */
        const val MAXIMUM_PIPELINED_REQUESTS = 32

        fun toHttpLimits(limits: CallerLimits) = HttpLimits(
            maximumBodyBytes = limits.maximumBodyBytes,
            maximumHeaderBytes = limits.maximumHeaderBytes,
            readTimeout = limits.headerTimeout,
            idleTimeout = limits.idleTimeout,
        )
    }
}
