package org.lovageladder.http

import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import org.lovageladder.core.Address
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Outcome
import org.lovageladder.core.RequestId
import java.util.concurrent.ConcurrentHashMap

/** The server's connections and the exchanges that run on them. */
internal class NettyCallerServer(
    bind: Address,
    private val limits: HttpLimits,
    handler: CallerHandler,
    meters: CallerMeters,
    threads: HttpThreads,
) : CallerServer {
    private val connections = ConcurrentHashMap.newKeySet<Channel>()
    private val exchanges = CallerExchanges(handler, meters)
    private val parser = SubmissionReader()
    private val listener: Channel = listenForHttp(bind, threads, Initializer())

    override val address: Address =
        addressOf(listener)

    init {
        meters.watch(connections, exchanges)
    }

    override fun giveToken(exchange: ExchangeId, index: Int, text: String) {
        exchanges.find(exchange)?.onLoop { token(index, text) }
    }

    override fun giveOutcome(exchange: ExchangeId, request: RequestId, outcome: Outcome) {
        exchanges.find(exchange)?.onLoop { finish(request, outcome) }
    }

    override fun drain() {
        exchanges.draining = true
        listener.close()
    }

    override fun close() {
        drain()
        connections.forEach { it.close() }
        parser.close()
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            if (connections.size >= limits.connections) {
                channel.close()
                return
            }
            connections.add(channel)
            channel.closeFuture().addListener { connections.remove(channel) }
            val connection = CallerConnection(limits, exchanges, parser)
            channel.pipeline().addLast(ArrivalHandler(connection::bytesArrived), codec(), connection)
        }

        private fun codec() = HttpServerCodec(
            HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_LINE_BYTES).setMaxHeaderSize(limits.headerBytes),
        )
    }

    private companion object {
        const val MAXIMUM_LINE_BYTES = 8192
    }
}
