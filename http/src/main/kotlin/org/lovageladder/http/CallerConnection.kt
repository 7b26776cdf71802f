package org.lovageladder.http

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One connection of a caller. Requests are handled one at a time; messages that arrive while an answer is pending are
 * queued. The channel is read continuously, so that a disconnect is noticed while the caller waits for its answer.
 */
internal class CallerConnection(
    private val limits: HttpLimits,
    private val exchanges: CallerExchanges,
    private val reader: SubmissionReader,
) : SimpleChannelInboundHandler<HttpObject>(false) {
    private lateinit var context: ChannelHandlerContext
    private lateinit var timer: ReceiveTimer
    private val queued = ArrayDeque<HttpObject>()
    private var queuedBytes = 0
    private var state = State.RECEIVING
    private var partialRequest: PartialRequest? = null
    private var exchange: CallerExchange? = null
    private var writeTimeoutTask: Future<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        timer = ReceiveTimer(context.channel().eventLoop(), limits, ::onTimeout)
        timer.awaitRequest()
    }

    /** Called when bytes arrive, before they are decoded. */
    fun onBytesArrived() {
        if (state == State.RECEIVING) timer.onBytesArrived()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        when (state) {
            State.RECEIVING -> process(message)
            State.ANSWERING -> enqueue(message)
            State.CLOSING -> ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer.stop()
        writeTimeoutTask?.cancel(false)
        releaseQueued()
        exchange?.onCallerDisconnected()
        exchange = null
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        writeTimeoutTask?.cancel(false)
        writeTimeoutTask = if (context.channel().isWritable) null else closeAfterDelay(limits.writeTimeout)
    }

    @Deprecated("Deprecated in Netty's base class, but still the place for connection errors.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun process(message: HttpObject) {
        try {
            val failure = message.decoderResult().cause()
            when {
                failure != null -> refuse(
                    decodingError(failure),
                    mayHaveKey = partialRequest?.hasIdempotencyKey ?: true,
                )
                message is HttpRequest -> startRequest(message)
            }
            if (message is HttpContent && state == State.RECEIVING) append(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun startRequest(head: HttpRequest) {
        val request = PartialRequest(head)
        partialRequest = request
        val announcedLength = HttpUtil.getContentLength(head, -1L)
        when {
            announcedLength > limits.maximumBodyBytes -> refuse(bodyTooLarge(), request.hasIdempotencyKey)
            HttpUtil.is100ContinueExpected(head) -> {
                context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            }
        }
    }

    private fun append(content: HttpContent) {
        val request = partialRequest ?: return
        if (request.size + content.content().readableBytes() > limits.maximumBodyBytes) {
            refuse(bodyTooLarge(), request.hasIdempotencyKey)
            return
        }
        request.append(content.content())
        if (content is LastHttpContent) onRequestComplete(request)
    }

    private fun onRequestComplete(request: PartialRequest) {
        state = State.ANSWERING
        partialRequest = null
        timer.stop()
        reader.read(request.toRequest()) { parsed ->
            if (context.channel().eventLoop().inEventLoop()) {
                submit(request, parsed)
            } else {
                context.channel().eventLoop().execute { submit(request, parsed) }
            }
        }
    }

    private fun submit(request: PartialRequest, parsed: Result<ParsedRequest, RequestError>) {
        if (!context.channel().isActive) return
        val answer = answerWriter(request.keepAlive)
        parsed.fold(
            success = { parsedRequest ->
                val started =
                    CallerExchange(exchanges.nextId(), parsedRequest.answerFormat, context.channel(), answer, exchanges)
                exchange = started
                exchanges.start(started, parsedRequest.submission)
            },
            failure = { error -> answer.writeProblem(problemOf(error, request.hasIdempotencyKey)) },
        )
    }

    private fun answerWriter(keepAlive: Boolean) = AnswerWriter(context, limits.maximumUnsentBytes, mayKeepAlive = {
        keepAlive && !exchanges.isDraining
    }, onEnd = ::onAnswerEnd)

    private fun onAnswerEnd(keptAlive: Boolean, written: ChannelFuture) {
        exchange = null
        if (!keptAlive) {
            closeOnceWritten(written)
            return
        }
        state = State.RECEIVING
        timer.awaitRequest()
        closeIfNotWritten(written)
        processQueued()
    }

    /** Answers a request that cannot be read to the end, and closes the connection. */
    private fun refuse(error: RequestError, mayHaveKey: Boolean) {
        state = State.CLOSING
        timer.stop()
        val answer = AnswerWriter(context, mayKeepAlive = { false }, onEnd = ::onAnswerEnd)
        answer.writeProblem(problemOf(error, mayHaveKey))
    }

    /**
     * Shuts down output once the answer is written, and closes the connection after [LINGER_TIMEOUT]. Closing at once
     * could reset the connection before the caller has read the answer.
     */
    private fun closeOnceWritten(written: ChannelFuture) {
        state = State.CLOSING
        releaseQueued()
        closeIfNotWritten(written)
        written.addListener {
            (context.channel() as SocketChannel).shutdownOutput()
            closeAfterDelay(LINGER_TIMEOUT)
        }
    }

    private fun closeIfNotWritten(written: ChannelFuture) {
        if (written.isDone) return
        val closing = closeAfterDelay(limits.writeTimeout)
        written.addListener { closing.cancel(false) }
    }

    private fun closeAfterDelay(delay: Duration) = context.channel().eventLoop().schedule(
        { context.close() },
        delay.inWholeMilliseconds,
        TimeUnit.MILLISECONDS,
    )

    private fun onTimeout(detail: String?) {
        if (detail == null) {
            context.close()
        } else {
            refuse(
                RequestError(STATUS_REQUEST_TIMEOUT, "request-timeout", detail),
                mayHaveKey = partialRequest?.hasIdempotencyKey ?: true,
            )
        }
    }

    private fun enqueue(message: HttpObject) {
        queuedBytes += (message as? HttpContent)?.content()?.readableBytes() ?: 0
        queued.addLast(message)
        if (queuedBytes > limits.maximumBodyBytes || queued.size > MAXIMUM_QUEUED_MESSAGES) context.close()
    }

    private fun processQueued() {
        while (state == State.RECEIVING) {
            val message = queued.removeFirstOrNull() ?: break
            queuedBytes -= (message as? HttpContent)?.content()?.readableBytes() ?: 0
            timer.onBytesArrived()
            process(message)
        }
    }

    private fun releaseQueued() {
        queued.forEach { ReferenceCountUtil.release(it) }
        queued.clear()
    }

    private fun bodyTooLarge() = RequestError(
        STATUS_CONTENT_TOO_LARGE,
        "body-too-large",
        "the body is larger than ${limits.maximumBodyBytes} bytes",
        "body",
    )

    private fun decodingError(cause: Throwable): RequestError = when (cause) {
        is TooLongHttpHeaderException ->
            RequestError(
                STATUS_HEADERS_TOO_LARGE,
                "headers-too-large",
                "headers exceed ${limits.maximumHeaderBytes} bytes",
                "headers",
            )
        is TooLongHttpLineException ->
            RequestError(STATUS_URI_TOO_LONG, "target-too-long", "the request line is too long", "path")
        else -> RequestError(STATUS_BAD_REQUEST, "malformed-request", "the request is not HTTP/1.1: ${cause.message}")
    }

    private enum class State {
        /** Waiting for a request or reading one. */
        RECEIVING,

        /** A request was read completely; its answer is not finished. */
        ANSWERING,

        /** The last answer was passed to the channel; further input is dropped. */
        CLOSING,
    }

    private companion object {
        const val MAXIMUM_QUEUED_MESSAGES = 1024
        val LINGER_TIMEOUT = 1.seconds
    }
}
