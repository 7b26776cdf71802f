package org.lovageladder.http.forward

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import org.lovageladder.core.forward.RequestMemory
import org.lovageladder.http.STATUS_BAD_REQUEST
import org.lovageladder.http.STATUS_CONTENT_TOO_LARGE
import org.lovageladder.http.STATUS_EXPECTATION_FAILED
import org.lovageladder.http.STATUS_HEADERS_TOO_LARGE
import org.lovageladder.http.STATUS_URI_TOO_LONG

/** What arrived on a caller's connection. [share] is to be released when the request ends. */
internal sealed interface ReceivedRequest {
    val head: HttpRequest
    val share: RequestBufferPool.Share

    /** A whole request. */
    class Complete(override val head: HttpRequest, override val share: RequestBufferPool.Share, val body: ByteArray) :
        ReceivedRequest

    /** A request that breaks the rules of HTTP or a limit on one request. Nothing is read behind it. */
    class Faulty(
        override val head: HttpRequest,
        override val share: RequestBufferPool.Share,
        val status: Int,
        val detail: String,
    ) : ReceivedRequest

    /** A request for which there is no [memory]. Nothing is read behind it. */
    class Unaffordable(
        override val head: HttpRequest,
        override val share: RequestBufferPool.Share,
        val memory: RequestMemory,
    ) : ReceivedRequest
}

/**
 * Assembles the requests of a connection, with bodies of at most [maximumBodyBytes], in memory of [pool]. Bodies are
 * copied to the heap as they arrive, since the buffers in which they arrive are few. After a request that cannot be
 * taken, what the caller goes on to send is dropped; reading stops when it is more than a body may have.
 */
internal class RequestAssembler(private val pool: RequestBufferPool, private val maximumBodyBytes: Int) :
    SimpleChannelInboundHandler<HttpObject>() {
    private class Partial(val head: HttpRequest, val share: RequestBufferPool.Share, val body: BodyBuffer)

    private var partial: Partial? = null
    private var isRefusing = false
    private var droppedBytes = 0

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        if (isRefusing) {
            drop(context, message)
            return
        }
        if (message is HttpRequest) begin(context, message)
        if (message is HttpContent) partial?.let { append(context, it, message) }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        partial?.share?.release()
        partial = null
        context.fireChannelInactive()
    }

    private fun begin(context: ChannelHandlerContext, head: HttpRequest) {
        val share = pool.newShare()
        val fault = head.decoderResult().cause()
        if (fault != null) {
            refuse(context, ReceivedRequest.Faulty(head, share, statusFor(fault), fault.message.orEmpty()))
            return
        }
        val announcedBytes = HttpUtil.getContentLength(head, UNKNOWN_LENGTH)
        when {
            hasUnknownExpectation(head) ->
                refuse(context, ReceivedRequest.Faulty(head, share, STATUS_EXPECTATION_FAILED, "unknown expectation"))
            announcedBytes > maximumBodyBytes -> refuse(context, tooLarge(head, share))
            !share.tryHold(headBytes(head) + announcedBytes.coerceAtLeast(0)) ->
                refuse(context, unaffordable(head, share, announcedBytes.coerceAtLeast(0)))
            else -> receiveBody(context, head, share, announcedBytes)
        }
    }

    private fun receiveBody(
        context: ChannelHandlerContext,
        head: HttpRequest,
        share: RequestBufferPool.Share,
        announcedBytes: Long,
    ) {
        val length = announcedBytes.takeIf { it >= 0 }?.toInt()
        partial = Partial(head, share, BodyBuffer(share, maximumBodyBytes, length))
        if (HttpUtil.is100ContinueExpected(head)) context.writeAndFlush(continueAnswer())
    }

    private fun append(context: ChannelHandlerContext, partial: Partial, content: HttpContent) {
        val head = partial.head
        val share = partial.share
        val fault = content.decoderResult().cause()
        val receivedBytes = partial.body.size.toLong() + content.content().readableBytes()
        when {
            fault != null ->
                refuse(context, ReceivedRequest.Faulty(head, share, statusFor(fault), fault.message.orEmpty()))
            receivedBytes > maximumBodyBytes -> refuse(context, tooLarge(head, share))
            !partial.body.append(content.content()) -> refuse(context, unaffordable(head, share, receivedBytes))
            content is LastHttpContent -> {
                this.partial = null
                context.fireChannelRead(ReceivedRequest.Complete(head, share, partial.body.takeBytes()))
            }
        }
    }

    /** Gives the memory of [request] back at once and passes it on for its answer. */
    private fun refuse(context: ChannelHandlerContext, request: ReceivedRequest) {
        isRefusing = true
        partial = null
        request.share.release()
        context.fireChannelRead(request)
    }

    private fun drop(context: ChannelHandlerContext, message: HttpObject) {
        if (message !is HttpContent) return
        droppedBytes += message.content().readableBytes()
        if (droppedBytes > maximumBodyBytes) context.channel().config().isAutoRead = false
    }

    private fun unaffordable(head: HttpRequest, share: RequestBufferPool.Share, bodyBytes: Long) =
        ReceivedRequest.Unaffordable(head, share, share.describeRefusal(headBytes(head) + bodyBytes))

    private fun tooLarge(head: HttpRequest, share: RequestBufferPool.Share) = ReceivedRequest.Faulty(
        head,
        share,
        STATUS_CONTENT_TOO_LARGE,
        "the body has more than $maximumBodyBytes bytes",
    )

    private fun hasUnknownExpectation(head: HttpRequest): Boolean {
        val expectation = head.headers().get(HttpHeaderNames.EXPECT) ?: return false
        val isDefined = head.protocolVersion() >= HttpVersion.HTTP_1_1
        return isDefined && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)
    }

    private fun headBytes(head: HttpRequest): Int =
        head.uri().length + head.headers().sumOf { it.key.length + it.value.length }

    private fun statusFor(fault: Throwable): Int = when (fault) {
        is TooLongHttpHeaderException -> STATUS_HEADERS_TOO_LARGE
        is TooLongHttpLineException -> STATUS_URI_TOO_LONG
        else -> STATUS_BAD_REQUEST
    }

    private companion object {
        const val UNKNOWN_LENGTH = -1L

        fun continueAnswer() =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
    }
}
