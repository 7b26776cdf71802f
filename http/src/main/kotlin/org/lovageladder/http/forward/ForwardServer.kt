package org.lovageladder.http.forward

import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseEncoder
import org.lovageladder.core.Address
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.CallerReply
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.OpenRequest
import org.lovageladder.http.ArrivalHandler
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.addressOf
import org.lovageladder.http.listenForHttp
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** Takes callers' requests in, on the event loop thread. */
public interface ForwardHandler {
    /** Limits on callers in force; null before they are known. */
    public val limits: CallerLimits?

    /** Forwards [request] and gives its outcome to [reply]; null when it was answered at once. */
    public fun forward(request: ForwardRequest, reply: CallerReply): OpenRequest?
}

/** Accepts callers' connections at [bind] and passes their requests to [handler]. [threads] has one thread. */
public class ForwardServer(
    bind: Address,
    private val threads: HttpThreads,
    private val wire: CallerWire,
    private val handler: ForwardHandler,
) : AutoCloseable {
    private val connections = ConcurrentHashMap.newKeySet<ForwardConnection>()

    @Volatile
    private var draining = false
    private val server: Channel = listenForHttp(bind, threads, Initializer())

    /** Where the server listens, with the port that was chosen when 0 was asked for. */
    public val address: Address =
        addressOf(server)

    /** Tells callers with each answer that their connection ends. */
    public fun drain() {
        draining = true
    }

    /** Closes connections that carry no request. */
    public fun closeIdle() {
        connections.forEach { it.closeIfIdle() }
    }

    /** Stops to listen and closes all connections. */
    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val limits = handler.limits ?: DEFAULT_LIMITS
            val connection = ForwardConnection(channel, limits, wire, handler) { draining }
            connections.add(connection)
            channel.closeFuture().addListener { connections.remove(connection) }
            channel.pipeline().addLast(
                ArrivalHandler(connection::bytesArrived),
                StrictRequestDecoder(limits.headerBytes),
                HttpResponseEncoder(),
                HttpObjectAggregator(limits.bodyBytes),
                connection,
            )
        }
    }

    private companion object {
        /** Until a configuration is known. */
        val DEFAULT_LIMITS =
            CallerLimits(
                headerBytes = 16_384,
                bodyBytes = 4_194_304,
                headerTimeout = 3.seconds,
                idleTimeout = 15.seconds,
            )
    }
}
