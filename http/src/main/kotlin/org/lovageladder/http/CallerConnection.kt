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
 * One connection of a caller: reads a request, hands it over, and reads the next once it is answered. Bytes are read
 * all the time, so that a caller's going is seen while its answer is awaited.
 */
internal class CallerConnection(
    private val limits: HttpLimits,
    private val exchanges: CallerExchanges,
    private val reader: SubmissionReader,
) : SimpleChannelInboundHandler<HttpObject>(false) {
    private lateinit var context: ChannelHandlerContext
    private lateinit var timer: ReceiveTimer
    private val early = ArrayDeque<HttpObject>()
    private var earlyBytes = 0
    private var state = State.RECEIVING
    private var receiving: RequestAssembly? = null
    private var exchange: CallerExchange? = null
    private var unread: Future<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        timer = ReceiveTimer(context.channel().eventLoop(), limits, ::expire)
        timer.awaitRequest()
    }

    /** Some bytes came, whole messages or not. */
    fun bytesArrived() {
        if (state == State.RECEIVING) timer.bytesArrived()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        when (state) {
            State.RECEIVING -> take(message)
            State.ANSWERING -> keepForLater(message)
            State.CLOSING -> ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer.stop()
        unread?.cancel(false)
        releaseEarly()
        exchange?.leave()
        exchange = null
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        unread?.cancel(false)
        unread = if (context.channel().isWritable) null else closeIn(limits.writeIdle)
    }

    @Deprecated("Deprecated in Netty's base class, but still the place for connection errors.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun take(message: HttpObject) {
        try {
            val failure = message.decoderResult().cause()
            when {
                failure != null -> refuse(malformed(failure), keyed = receiving?.hasKey ?: true)
                message is HttpRequest -> begin(message)
            }
            if (message is HttpContent && state == State.RECEIVING) append(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(head: HttpRequest) {
        val assembly = RequestAssembly(head)
        receiving = assembly
        val announced = HttpUtil.getContentLength(head, -1L)
        when {
            announced > limits.bodyBytes -> refuse(tooLarge(), assembly.hasKey)
            HttpUtil.is100ContinueExpected(head) -> {
                context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            }
        }
    }

    private fun append(content: HttpContent) {
        val assembly = receiving ?: return
        if (assembly.size + content.content().readableBytes() > limits.bodyBytes) {
            refuse(tooLarge(), assembly.hasKey)
            return
        }
        assembly.append(content.content())
        if (content is LastHttpContent) complete(assembly)
    }

    private fun complete(assembly: RequestAssembly) {
        state = State.ANSWERING
        receiving = null
        timer.stop()
        reader.read(assembly.toRequest()) { parsed ->
            if (context.channel().eventLoop().inEventLoop()) {
                submit(assembly, parsed)
            } else {
                context.channel().eventLoop().execute { submit(assembly, parsed) }
            }
        }
    }

    private fun submit(assembly: RequestAssembly, parsed: Result<ParsedRequest, InputFault>) {
        if (!context.channel().isActive) return
        val answer = writer(assembly.keepAlive)
        parsed.fold(
            success = { request ->
                val begun = CallerExchange(exchanges.nextId(), request.answer, context.channel(), answer, exchanges)
                exchange = begun
                exchanges.begin(begun, request.submission)
            },
            failure = { fault -> answer.problem(problemOf(fault, assembly.hasKey)) },
        )
    }

    private fun writer(keepAlive: Boolean) = AnswerWriter(context, limits.unreadBytes, mayKeepAlive = {
        keepAlive && !exchanges.draining
    }, onEnd = ::answered)

    private fun answered(keptAlive: Boolean, written: ChannelFuture) {
        exchange = null
        if (!keptAlive) {
            closeAfter(written)
            return
        }
        state = State.RECEIVING
        timer.awaitRequest()
        closeUnlessWritten(written)
        takeEarly()
    }

    /** Answers a request that cannot be read to its end, and closes the connection. */
    private fun refuse(fault: InputFault, keyed: Boolean) {
        state = State.CLOSING
        timer.stop()
        val answer = AnswerWriter(context, mayKeepAlive = { false }, onEnd = ::answered)
        answer.problem(problemOf(fault, keyed))
    }

    /** Closes our side once all is written, and the whole once the caller has seen that, lest it lose the answer. */
    private fun closeAfter(written: ChannelFuture) {
        state = State.CLOSING
        releaseEarly()
        closeUnlessWritten(written)
        written.addListener {
            (context.channel() as SocketChannel).shutdownOutput()
            closeIn(LINGER)
        }
    }

    private fun closeUnlessWritten(written: ChannelFuture) {
        if (written.isDone) return
        val closing = closeIn(limits.writeIdle)
        written.addListener { closing.cancel(false) }
    }

    private fun closeIn(delay: Duration) = context.channel().eventLoop().schedule(
        { context.close() },
        delay.inWholeMilliseconds,
        TimeUnit.MILLISECONDS,
    )

    private fun expire(detail: String?) {
        if (detail == null) {
            context.close()
        } else {
            refuse(InputFault(STATUS_REQUEST_TIMEOUT, "request-timeout", detail), keyed = receiving?.hasKey ?: true)
        }
    }

    private fun keepForLater(message: HttpObject) {
        earlyBytes += (message as? HttpContent)?.content()?.readableBytes() ?: 0
        early.addLast(message)
        if (earlyBytes > limits.bodyBytes || early.size > MAXIMUM_EARLY_MESSAGES) context.close()
    }

    private fun takeEarly() {
        while (state == State.RECEIVING) {
            val message = early.removeFirstOrNull() ?: break
            earlyBytes -= (message as? HttpContent)?.content()?.readableBytes() ?: 0
            timer.bytesArrived()
            take(message)
        }
    }

    private fun releaseEarly() {
        early.forEach { ReferenceCountUtil.release(it) }
        early.clear()
    }

    private fun tooLarge() =
        InputFault(STATUS_TOO_LARGE, "body-too-large", "the body is larger than ${limits.bodyBytes} bytes", "body")

    private fun malformed(cause: Throwable): InputFault = when (cause) {
        is TooLongHttpHeaderException ->
            InputFault(
                STATUS_HEADERS_TOO_LARGE,
                "headers-too-large",
                "headers exceed ${limits.headerBytes} bytes",
                "headers",
            )
        is TooLongHttpLineException ->
            InputFault(STATUS_TARGET_TOO_LONG, "target-too-long", "the request line is too long", "path")
        else -> InputFault(STATUS_BAD_REQUEST, "malformed-request", "the request is not HTTP/1.1: ${cause.message}")
    }

    private enum class State {
        /** Between requests or within one. */
        RECEIVING,

        /** A request is whole and its answer is not. */
        ANSWERING,

        /** The last answer is handed over and what comes in is dropped. */
        CLOSING,
    }

    private companion object {
        const val MAXIMUM_EARLY_MESSAGES = 1024
        val LINGER = 1.seconds
    }
}
