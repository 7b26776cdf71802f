package org.lovageladder.http

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.timeout.ReadTimeoutHandler
import org.lovageladder.core.Address
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Serves [AdminRoutes]. Requests are handled on worker threads, since handlers may block. */
internal class NettyAdminServer(bind: Address, private val routes: AdminRoutes, threads: HttpThreads) : AdminServer {
    private val connections = ConcurrentHashMap.newKeySet<Channel>()
    private val workers: ExecutorService = Executors.newFixedThreadPool(WORKER_THREADS) { task ->
        Thread(task, "admin").apply { isDaemon = true }
    }
    private val listener: Channel = listenForHttp(bind, threads, ConnectionInitializer())

    override val address: Address =
        boundAddress(listener)

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
        workers.shutdown()
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            connections.add(channel)
            channel.closeFuture().addListener { connections.remove(channel) }
            channel.pipeline().addLast(
                ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                HttpServerCodec(),
                HttpObjectAggregator(MAXIMUM_BODY_BYTES),
                AdminConnection(),
            )
        }
    }

    private inner class AdminConnection : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            if (request.decoderResult().isFailure) {
                context.close()
                return
            }
            val method = request.method()
            val target = request.uri()
            val keepAlive = HttpUtil.isKeepAlive(request)
            context.channel().config().isAutoRead = false
            workers.execute {
                val answer = answerOrInternalError(method, target)
                context.executor().execute { write(context, answer, keepAlive) }
            }
        }

        @Deprecated("Deprecated in Netty's base class, but still the place for connection errors.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }

        private fun write(context: ChannelHandlerContext, answer: AdminAnswer, keepAlive: Boolean) {
            val writer = AnswerWriter(context, mayKeepAlive = { keepAlive }) { keptAlive, written ->
                if (keptAlive) {
                    context.channel().config().isAutoRead = true
                } else {
                    written.addListener { context.close() }
                }
            }
            writer.writeWhole(answer.status, answer.contentType, answer.body)
        }
    }

    /** Turns an exception of the handler into an answer with status 500, so that the operator always gets an answer. */
    @Suppress("TooGenericExceptionCaught")
    private fun answerOrInternalError(method: HttpMethod, target: String): AdminAnswer = try {
        routes.answer(method, target)
    } catch (failure: RuntimeException) {
        AdminAnswer(STATUS_INTERNAL_ERROR, TEXT_TYPE, "internal error: $failure\n")
    }

    private companion object {
        const val WORKER_THREADS = 2
        const val READ_TIMEOUT_SECONDS = 60
        const val MAXIMUM_BODY_BYTES = 64 * 1024
    }
}
