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

/** Netty implementation of [CallerServer]. */
internal class NettyCallerServer(
    bind: Address,
    private val limits: HttpLimits,
    handler: CallerHandler,
    meters: CallerMeters,
    threads: HttpThreads,
) : CallerServer {
    private val connections = ConcurrentHashMap.newKeySet<Channel>()
    private val exchanges = CallerExchanges(handler, meters)
    private val submissionReader = SubmissionReader()
    private val listener: Channel = listenForHttp(bind, threads, ConnectionInitializer())

    override val address: Address =
        boundAddress(listener)

    init {
        meters.registerGauges(connections, exchanges)
    }

    override fun sendToken(exchange: ExchangeId, index: Int, text: String) {
        exchanges.find(exchange)?.runOnEventLoop { writeToken(index, text) }
    }

    override fun sendOutcome(exchange: ExchangeId, request: RequestId, outcome: Outcome) {
        exchanges.find(exchange)?.runOnEventLoop { finish(request, outcome) }
    }

    override fun drain() {
        exchanges.isDraining = true
        listener.close()
    }

    override fun close() {
        drain()
        connections.forEach { it.close() }
        submissionReader.close()
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            if (connections.size >= limits.maximumConnections) {
                channel.close()
                return
            }
            connections.add(channel)
            channel.closeFuture().addListener { connections.remove(channel) }
            val connection = CallerConnection(limits, exchanges, submissionReader)
            channel.pipeline().addLast(ArrivalHandler(connection::onBytesArrived), codec(), connection)
        }

        private fun codec() = HttpServerCodec(
            HttpDecoderConfig()
                .setMaxInitialLineLength(MAXIMUM_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(limits.maximumHeaderBytes),
        )
    }

    private companion object {
        const val MAXIMUM_REQUEST_LINE_BYTES = 8192
    }
}
