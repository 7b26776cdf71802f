package org.lovageladder.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
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
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One client connection and its current call. Answers that are not the call's own are skipped up to a limit, since a
 * faulty peer may write them without end. Confined to its event loop thread.
 */
internal class HttpClientConnection(
    private val idleConnections: IdleConnections,
    private val decoder: AnswerDecoder,
    private val idleWatch: IdleWatch,
) : SimpleChannelInboundHandler<HttpObject>() {
    private lateinit var context: ChannelHandlerContext
    private var currentCall: RunningHttpCall? = null
    private var address: Address? = null
    private var keepAlive = true
    private var skippingAnswer = false
    private val skipLimit = SkipLimit()
    private val history = ConnectionHistory()
    private var idleTimeout: Duration? = null
    private var endsWithConnection = false
    private lateinit var endOfUpload: EndOfUpload

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        endOfUpload = EndOfUpload(context.channel())
    }

    /** Sends the request of [runningCall]. The connection must not have a current call. */
    fun send(runningCall: RunningHttpCall) {
        if (runningCall.isEnded) {
            context.close()
            return
        }
        val request = encodeOrFail(runningCall) ?: return
        currentCall = runningCall
        decoder.awaitedMethod = runningCall.call.method
        address = runningCall.address
        skipLimit.restart()
        endOfUpload.prepare(runningCall.call.body.size)
        runningCall.onSend(context.channel(), idleWatch.startCall(runningCall))
        context.writeAndFlush(request).addListener { written ->
            if (!written.isSuccess) {
                onConnectionLost(written.cause())
                context.close()
            }
        }
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        val runningCall = currentCall
        if (runningCall == null) idleWatch.onMessage(message)
        val fault = faultOf(message)
        if (runningCall == null || fault != null) {
            onProtocolError(fault)
            return
        }
        if (message is HttpResponse) startAnswer(runningCall, message)
        if (message !is HttpContent) return
        if (skippingAnswer) {
            skipLimit.addBytes(message.content().readableBytes())
            if (skipLimit.isExceeded) onEndlessAnswers(runningCall)
            return
        }
        runningCall.onContent(message.content())
        if (message is LastHttpContent) finishAnswer(runningCall)
    }

    /** Starts the answer, or skips it when it is an interim (1xx) answer or belongs to another call. */
    private fun startAnswer(runningCall: RunningHttpCall, response: HttpResponse) {
        val interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val recognition = runningCall.call.recognition
        val isNamingPeer = idleConnections.isNaming(runningCall.address)
        val unrelated =
            !interim && !runningCall.isEnded && !history.isAnswer(recognition, response.headers(), isNamingPeer)
        skippingAnswer = interim || unrelated
        if (unrelated) skip(runningCall, response)
        if (skippingAnswer) {
            skipLimit.addAnswer()
            return
        }
        val isKept = history.recordAnswer(recognition, response.status().code(), response.headers())
        if (isKept && history.lastAnswer.isIdentified) idleConnections.recordNaming(runningCall.address)
        keepAlive = keepAlive && isKept && runningCall.isConnectionKept && HttpUtil.isKeepAlive(response)
        idleTimeout = announcedIdleTimeout(response)
        val status = response.status().code()
        endsWithConnection = endsWithConnection(runningCall.call.method, status, response.headers())
        runningCall.onHead(response.status().code(), response.headers())
    }

    private fun skip(runningCall: RunningHttpCall, response: HttpResponse) {
        keepAlive = false
        val identifier = runningCall.call.recognition.identifierOf(response.headers())
        val status = response.status().code()
        runningCall.onSkipped(SkippedAnswer(idleWatch.place, status, identifier, history.answeredCalls))
    }

    /** How long the peer keeps an idle connection, from its `Keep-Alive` header; null when the header names no time. */
    private fun announcedIdleTimeout(response: HttpResponse): Duration? {
        val field = response.headers().get("Keep-Alive") ?: return null
        return KEEP_ALIVE_TIMEOUT.find(field)?.groupValues?.get(1)?.toLongOrNull()?.seconds
    }

    /** The peer ended its side of a connection that is kept half open; an answer that has not ended broke off. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent && !endOfUpload.isBeingChecked) {
            onConnectionLost(null)
            context.close()
        }
        context.fireUserEventTriggered(event)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        address?.let { idleConnections.remove(it, context.channel()) }
        onConnectionLost(null)
    }

    @Deprecated("Deprecated in Netty's base class, but still the place for connection errors.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        onConnectionLost(cause)
        context.close()
    }

    private fun finishAnswer(runningCall: RunningHttpCall) {
        if (endsWithConnection && endOfUpload.mustBeChecked()) {
            endOfUpload.check { fault -> if (currentCall === runningCall) onUploadEnded(runningCall, fault) }
        } else {
            endAnswer(runningCall)
        }
    }

    private fun onUploadEnded(runningCall: RunningHttpCall, fault: String?) {
        if (fault == null) {
            endAnswer(runningCall)
        } else {
            onConnectionLost(IOException(fault))
            context.close()
        }
    }

    private fun endAnswer(runningCall: RunningHttpCall) {
        currentCall = null
        endOfUpload.prepare(bodyBytes = 0)
        decoder.awaitedMethod = null
        val isDelivered = runningCall.markEnded()
        if (isDelivered) idleWatch.endCall(history.answeredCalls)
        if (isDelivered && isReusable()) {
            context.channel().config().isAutoRead = true
            idleConnections.release(runningCall.address, context.channel(), history, idleTimeout)
        } else {
            context.close()
        }
        if (isDelivered) runningCall.onEnd()
    }

    /** A peer may answer before it has read the request, whose rest would stay in memory beyond the call. */
    private fun isReusable(): Boolean {
        val isRequestWritten = context.channel().unsafe().outboundBuffer()?.isEmpty ?: false
        return keepAlive && !decoder.hasRest && isRequestWritten
    }

    private fun onProtocolError(cause: Throwable?) {
        val detail = "the answer is not valid HTTP: ${cause?.message ?: "unexpected data"}"
        val runningCall = currentCall
        currentCall = null
        runningCall?.fail(HttpFailure(FaultCause.PROTOCOL, requestSent = true, detail = detail))
        context.close()
    }

    private fun onEndlessAnswers(runningCall: RunningHttpCall) {
        currentCall = null
        val detail = "the peer wrote ${skipLimit.describe()} before the answer"
        runningCall.fail(HttpFailure(FaultCause.PROTOCOL, requestSent = true, detail = detail))
        context.close()
    }

    private fun onConnectionLost(cause: Throwable?) {
        val runningCall = currentCall ?: return
        currentCall = null
        val detail = cause?.message ?: "the connection closed before the answer ended"
        runningCall.fail(HttpFailure(FaultCause.CONNECTION_LOST, requestSent = true, detail = detail))
    }

    /** Encodes the request. When its path or a header is invalid, fails the call and returns null. */
    private fun encodeOrFail(runningCall: RunningHttpCall): FullHttpRequest? = try {
        encode(runningCall)
    } catch (invalid: IllegalArgumentException) {
        context.close()
        runningCall.fail(HttpFailure(FaultCause.PROTOCOL, requestSent = false, detail = invalid.message.orEmpty()))
        null
    }

    private fun encode(runningCall: RunningHttpCall): FullHttpRequest {
        val call = runningCall.call
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        call.contentType?.let { headers.set(HttpHeaderNames.CONTENT_TYPE, it) }
        call.fields.forEach { headers.add(it.name, it.value) }
        if (!headers.contains(HttpHeaderNames.HOST)) {
            headers.set(
                HttpHeaderNames.HOST,
                NetUtil.toSocketAddressString(runningCall.address.ip, runningCall.address.port),
            )
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
