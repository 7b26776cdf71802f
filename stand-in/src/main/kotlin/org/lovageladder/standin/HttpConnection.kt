package org.lovageladder.standin

import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import org.tinylog.kotlin.Logger
import java.io.IOException
import java.nio.charset.StandardCharsets

/** One client connection, which passes its requests to [handler] one at a time, in order of arrival. */
internal class HttpConnection(private val handler: HttpHandler) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private val pendingRequests = ArrayDeque<HttpRequest>()
    private var currentExchange: HttpExchange? = null

    override fun channelRead0(context: ChannelHandlerContext, message: FullHttpRequest) {
        if (message.decoderResult().isFailure) {
            refuseMalformed(context)
            return
        }
        pendingRequests.addLast(HttpRequest.from(message))
        handleNext(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pendingRequests.clear()
        currentExchange?.onConnectionClosed()
        currentExchange = null
    }

    @Deprecated("Deprecated in Netty's base class, but still where connection errors are reported.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) {
            Logger.warn(cause, "closing the connection after an error")
        }
        context.close()
    }

    private fun refuseMalformed(context: ChannelHandlerContext) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST)
        HttpUtil.setContentLength(response, 0)
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun handleNext(context: ChannelHandlerContext) {
        if (currentExchange != null) {
            return
        }
        val request = pendingRequests.removeFirstOrNull() ?: return
        val exchange =
            HttpExchange(request, context.channel()) {
                currentExchange = null
                handleNext(context)
            }
        currentExchange = exchange
        try {
            handler.handle(exchange)
        } catch (refused: RequestRefused) {
            exchange.refuse(refused)
        }
    }
}

/** A complete HTTP request; header names are in lower case. */
internal data class HttpRequest(
    val method: String,
    val path: String,
    val query: Map<String, List<String>>,
    val headers: Map<String, String>,
    val body: String,
    val keepAlive: Boolean,
) {
    /** The value of the header [name] in any case, or null. */
    fun header(name: String): String? = headers[name.lowercase()]

    companion object {
        fun from(message: FullHttpRequest): HttpRequest {
            val target = QueryStringDecoder(message.uri())
            return HttpRequest(
                method = message.method().name(),
                path = target.path(),
                query = target.parameters(),
                headers = message.headers().associate { (name, value) -> name.lowercase() to value },
                body = message.content().toString(StandardCharsets.UTF_8),
                keepAlive = HttpUtil.isKeepAlive(message),
            )
        }
    }
}
