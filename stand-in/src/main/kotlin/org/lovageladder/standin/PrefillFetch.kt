package org.lovageladder.standin

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import java.nio.charset.StandardCharsets

/** Outcome of fetching a prefill result from another engine. */
internal enum class FetchOutcome {
    FETCHED,
    EXPIRED,
    UNREACHABLE,
}

/** Fetches a prefill result from the engine that stores it; reports the outcome once, or never if cancelled. */
internal class PrefillFetch private constructor(
    private val source: FetchSource,
    private val onOutcome: (FetchOutcome) -> Unit,
) {
    private var channel: Channel? = null
    private var isFinished = false

    /** Aborts the transfer; its outcome is not reported. */
    fun cancel() {
        isFinished = true
        channel?.close()
    }

    private fun connect(thread: EventLoopThread) {
        val bootstrap =
            Bootstrap()
                .group(thread.group)
                .channel(NioSocketChannel::class.java)
                .handler(FetchInitializer(::report))
        bootstrap.connect(source.host, source.port).addListener { connected ->
            if (!connected.isSuccess) report(FetchOutcome.UNREACHABLE)
        }.also { connecting ->
            channel = connecting.channel()
            connecting.addListener { if (it.isSuccess && !isFinished) send(connecting.channel()) }
        }
    }

    private fun send(channel: Channel) {
        val body = StandInJson.lenient.encodeToString(FetchBody(source.requestId, source.engineId))
        val content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, PATH, content)
        HttpUtil.setContentLength(request, content.readableBytes().toLong())
        request.headers().set(HttpHeaderNames.HOST, source.host)
        channel.writeAndFlush(request)
    }

    private fun report(outcome: FetchOutcome) {
        if (isFinished) {
            return
        }
        isFinished = true
        channel?.close()
        onOutcome(outcome)
    }

    companion object {
        const val PATH: String = "/internal/kv/fetch"

        fun start(thread: EventLoopThread, source: FetchSource, onOutcome: (FetchOutcome) -> Unit): PrefillFetch =
            PrefillFetch(source, onOutcome).also { it.connect(thread) }
    }
}

/** The engine that stores a prefill result, and the result's name there. */
internal data class FetchSource(val host: String, val port: Int, val requestId: String, val engineId: String?) {
    companion object {
        /** Throws [RequestRefused] with status 400 when [parameters] lack the address or the name of the result. */
        fun from(parameters: TransferParameters): FetchSource = FetchSource(
            host = parameters.host ?: throw missingField("remote_host"),
            port = parameters.port ?: throw missingField("remote_port"),
            requestId = parameters.requestId ?: throw missingField("remote_request_id"),
            engineId = parameters.engineId,
        )

        private fun missingField(field: String) =
            RequestRefused.invalidField("kv_transfer_params.$field", "field kv_transfer_params.$field is missing")
    }
}

@Serializable
internal data class FetchBody(
    @SerialName("remote_request_id") val requestId: String,
    @SerialName("remote_engine_id") val engineId: String? = null,
)

@Serializable
internal data class FetchedPrefill(val bytes: Long)

private class FetchInitializer(private val report: (FetchOutcome) -> Unit) : ChannelInitializer<SocketChannel>() {
    override fun initChannel(channel: SocketChannel) {
        channel
            .pipeline()
            .addLast(HttpClientCodec())
            .addLast(HttpObjectAggregator(HttpServer.MAXIMUM_BODY_BYTES))
            .addLast(FetchHandler(report))
    }
}

private class FetchHandler(private val report: (FetchOutcome) -> Unit) :
    SimpleChannelInboundHandler<FullHttpResponse>() {
    override fun channelRead0(context: ChannelHandlerContext, message: FullHttpResponse) {
        when (message.status().code()) {
            OK_STATUS -> report(FetchOutcome.FETCHED)
            RequestRefused.GONE -> report(FetchOutcome.EXPIRED)
            else -> report(FetchOutcome.UNREACHABLE)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext): Unit = report(FetchOutcome.UNREACHABLE)

    @Deprecated("Deprecated in Netty's base class, but still where connection errors are reported.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private companion object {
        const val OK_STATUS = 200
    }
}
