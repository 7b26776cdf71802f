package org.lovageladder.standin

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.group.ChannelGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import java.net.InetAddress
import java.net.InetSocketAddress

/** Answers an HTTP request, at once or later, through its [HttpExchange]. Runs on the stand-in's thread. */
internal fun interface HttpHandler {
    /** Handles one request; throws [RequestRefused] to answer with an error. */
    fun handle(exchange: HttpExchange)
}

/**
 * HTTP/1.1 server on loopback, used by every stand-in.
 *
 * Requests on one connection are handled one after the other. Bodies above [MAXIMUM_BODY_BYTES] are refused with 413.
 */
internal class HttpServer private constructor(
    private val thread: EventLoopThread,
    private val listener: Channel,
    private val connections: ChannelGroup,
) : AutoCloseable {
    val port: Int = (listener.localAddress() as InetSocketAddress).port

    /** Closes all connections but that of [except], without answering; the server keeps listening. */
    fun closeConnections(except: HttpExchange? = null) {
        thread.runAndWait {
            connections.filterNot { except?.usesConnection(it) ?: false }.forEach { it.closeAbruptly() }
        }
    }

    /** Stops listening and closes all connections. */
    override fun close() {
        listener.close()
        closeConnections()
    }

    companion object {
        const val MAXIMUM_BODY_BYTES: Int = 32 * 1024 * 1024
        private const val BACKLOG = 1024

        /** Listens on loopback at [port], or at a free one when it is 0. Throws when the port is taken. */
        fun start(thread: EventLoopThread, port: Int, handler: HttpHandler): HttpServer {
            val connections = DefaultChannelGroup(thread.eventLoop)
            val bootstrap =
                ServerBootstrap()
                    .group(thread.group)
                    .channel(NioServerSocketChannel::class.java)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(ConnectionInitializer(connections, handler))
            val address = InetSocketAddress(InetAddress.getLoopbackAddress(), port)
            val bound = bootstrap.bind(address).awaitUninterruptibly()
            if (!bound.isSuccess) {
                thread.close()
                throw bound.cause()
            }
            return HttpServer(thread, bound.channel(), connections)
        }
    }
}

private class ConnectionInitializer(private val connections: ChannelGroup, private val handler: HttpHandler) :
    ChannelInitializer<SocketChannel>() {
    override fun initChannel(channel: SocketChannel) {
        connections.add(channel)
        channel
            .pipeline()
            .addLast(HttpServerCodec())
            .addLast(HttpObjectAggregator(HttpServer.MAXIMUM_BODY_BYTES))
            .addLast(HttpConnection(handler))
    }
}

/** Closes the connection with a reset, discarding unsent data. Call it on the event loop of the connection. */
internal fun Channel.closeAbruptly() {
    if (isOpen) {
        config().setOption(ChannelOption.SO_LINGER, 0)
        close()
    }
}
