package org.lovageladder.http.forward

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.AbstractNioChannel
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import org.lovageladder.core.forward.ArrivalReader
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.RequestHandle
import org.lovageladder.core.forward.UnreadAnswers
import org.lovageladder.http.HttpLimits
import org.lovageladder.http.ReceiveTimer
import org.lovageladder.http.STATUS_BAD_REQUEST
import org.lovageladder.http.STATUS_REQUEST_TIMEOUT
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
    unread: UnreadAnswers,
    private val isDraining: () -> Boolean,
) : SimpleChannelInboundHandler<ReceivedRequest>() {
    private val output = CallerOutput(channel, unread)
    private val pipelined = ArrayDeque<ReceivedRequest>()
    private val receiveTimer = ReceiveTimer(channel.eventLoop(), toHttpLimits(limits), ::onReceiveTimeout)
    private val callerSide = CallerSide()
    private var currentReply: ForwardReply? = null
    private var currentShare: RequestBufferPool.Share? = null
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

    override fun channelRead0(context: ChannelHandlerContext, request: ReceivedRequest) {
        val startable = if (currentReply == null) 1 else 0
        if (!channel.isActive || pipelined.size >= MAXIMUM_PIPELINED_REQUESTS + startable) {
            request.share.release()
            channel.close()
            return
        }
        pipelined.add(request)
        if (currentReply == null && pipelined.size == 1) channel.eventLoop().execute(::startNext)
    }

    private fun onClosed() {
        receiveTimer.stop()
        pipelined.forEach { it.share.release() }
        pipelined.clear()
        releaseShare()
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

    private fun startRequest(request: ReceivedRequest) {
        receiveTimer.stop()
        currentShare = request.share
        val isWhole = request is ReceivedRequest.Complete
        val keepAlive = isWhole && HttpUtil.isKeepAlive(request.head)
        val mayKeepAlive = { keepAlive && (!isDraining() || pipelined.isNotEmpty()) }
        val closing = if (isWhole) ChannelFutureListener.CLOSE else LingeringClose
        val reply =
            ForwardReply(channel, output, request.head.method().name(), mayKeepAlive, ::onReplyFinished, closing)
        currentReply = reply
        when (request) {
            is ReceivedRequest.Faulty -> reply.reject(request.status, request.detail)
            is ReceivedRequest.Unaffordable ->
                parse(request.head, NO_BODY, reply)?.let { handler.refuse(it, reply, request.memory) }
            is ReceivedRequest.Complete -> parse(request.head, request.body, reply)?.let { forward(it, reply) }
        }
    }

    private fun forward(request: ForwardRequest, reply: ForwardReply) {
        output.request = request.id
        val opened = handler.forward(request, reply)
        if (currentReply === reply) openRequest = opened
    }

    /** Parses a request; answers it and returns null when it is not valid. */
    private fun parse(head: HttpRequest, body: ByteArray, reply: ForwardReply): ForwardRequest? {
        val parsed = parser.parse(toUnparsedRequest(head, body))
        if (parsed == null) {
            reply.reject(STATUS_BAD_REQUEST, "the request's identifier is missing or its headers are malformed")
        }
        return parsed
    }

    private fun toUnparsedRequest(head: HttpRequest, body: ByteArray) = UnparsedRequest(
        method = head.method().name(),
        target = head.uri(),
        host = head.headers().get(HttpHeaderNames.HOST).orEmpty(),
        fields = endToEndFields(head.headers()),
        body = body,
        connection = callerSide,
    )

    private fun releaseShare() {
        currentShare?.release()
        currentShare = null
    }

    /** The answer to the current request was written; [keepAlive] tells whether the connection stays open. */
    private fun onReplyFinished(keepAlive: Boolean, written: ChannelFuture) {
        currentReply = null
        openRequest = null
        releaseShare()
        if (!keepAlive) return
        if (pipelined.isEmpty()) written.addListener { awaitRequest() } else channel.eventLoop().execute(::startNext)
    }

    /** The caller may take long to read its answer, and counts as idle from then on. */
    private fun awaitRequest() {
        if (channel.isActive && currentReply == null && pipelined.isEmpty()) receiveTimer.awaitRequest()
    }

    /**
     * Starts the request that waits longest; it stays in the queue until then, so that no later one overtakes it. The
     * answers to a caller that does not read are not added to.
     */
    private fun startNext() {
        if (!channel.isActive || currentReply != null) return
        if (output.isCongested) receiveTimer.stop() else pipelined.removeFirstOrNull()?.let(::startRequest)
    }

    /** Called when the caller has read on, or has left too much unread. */
    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        output.onCongestionChanged()
        if (!output.isCongested && pipelined.isNotEmpty()) channel.eventLoop().execute(::startNext)
        context.fireChannelWritabilityChanged()
    }

    /** [detail] says which part of a request was late; null when no request had begun. */
    private fun onReceiveTimeout(detail: String?) {
        if (detail == null || currentReply != null) {
            channel.close()
            return
        }
        val reply = ForwardReply(channel, output, "GET", { false }, ::onReplyFinished)
        currentReply = reply
        reply.reject(STATUS_REQUEST_TIMEOUT, detail)
    }

    private inner class CallerSide : ArrivalReader {
        override val isCongested: Boolean get() = output.isCongested

        /** What has arrived may be the close of a caller that left while the event loop was busy. */
        override fun readArrived() {
            if (channel.isActive) (channel.unsafe() as AbstractNioChannel.NioUnsafe).read()
        }

        override fun onWritable(action: () -> Unit) = output.onWritable(action)
    }

    private companion object {
        /** Pipelined requests that may wait on one connection. */
        const val MAXIMUM_PIPELINED_REQUESTS = 32
        val NO_BODY = ByteArray(0)

        fun toHttpLimits(limits: CallerLimits) = HttpLimits(
            maximumBodyBytes = limits.maximumBodyBytes,
            maximumHeaderBytes = limits.maximumHeaderBytes,
            readTimeout = limits.headerTimeout,
            idleTimeout = limits.idleTimeout,
        )
    }
}
