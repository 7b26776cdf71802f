package org.lovageladder.http.forward

import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import org.lovageladder.core.Address
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.CallerReply
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.Refusal
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.core.forward.RequestHandle
import org.lovageladder.core.forward.RequestMemory
import org.lovageladder.core.forward.UnreadAnswers
import org.lovageladder.http.ArrivalHandler
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.boundAddress
import org.lovageladder.http.listenForHttp
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/** Handles callers' requests, on the event loop thread. */
public interface ForwardHandler {
    /** Limits on callers' requests; null before a configuration is known. */
    public val limits: CallerLimits?

    /** Forwards [request] and sends the answer to [reply]. Returns null when the request was answered at once. */
    public fun forward(request: ForwardRequest, reply: CallerReply): RequestHandle?

    /** Refuses [request], which was not received whole since [memory] has no room for it. Its body is empty here. */
    public fun refuse(request: ForwardRequest, reply: CallerReply, memory: RequestMemory): Unit =
        reply.refuse(Refusal(RefusalReason.MEMORY_FULL, DEFAULT_RETURN_DELAY))
}

private val DEFAULT_RETURN_DELAY = 1.seconds

/**
 * Accepts callers' connections at [bind], parses their requests with [parser] and passes them to [handler]. Requests
 * are kept in memory of [requestBuffers], and unread answers in that of [unreadAnswers]. [threads] must have one thread
 * only.
 */
public class ForwardServer(
    bind: Address,
    private val threads: HttpThreads,
    private val parser: CallerRequestParser,
    private val handler: ForwardHandler,
    private val requestBuffers: RequestBufferPool = RequestBufferPool(),
    private val unreadAnswers: UnreadAnswers =
        UnreadAnswers(UnreadAnswers.DEFAULT_BYTES, EventLoopScheduler(threads)) {},
) : AutoCloseable {
    private val connections = ConcurrentHashMap.newKeySet<ForwardConnection>()

    @Volatile
    private var isDraining = false
    private val server: Channel = listenForHttp(bind, threads, Initializer())

    /** Address that the server listens at; for port 0 it holds the port that the system chose. */
    public val address: Address =
        boundAddress(server)

    /**
     * Whether no connection has a request in progress or an answer that is not yet handed to the operating system. Only
     * for the event loop thread.
     */
    public val isIdle: Boolean get() = connections.all { it.isIdle }

    /** Closes each caller's connection after its next answer, which announces this by `Connection: close`. */
    public fun drain() {
        isDraining = true
    }

    /** Stops listening. Open connections are served further. */
    public fun stopListening() {
        server.close()
    }

    /** Closes connections without a request in progress or an answer to be written. */
    public fun closeIdle() {
        connections.forEach { it.closeIfIdle() }
    }

    /** Stops listening and closes all connections. */
    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val limits = handler.limits ?: DEFAULT_LIMITS
            val connection = ForwardConnection(channel, limits, parser, handler, unreadAnswers) { isDraining }
            connections.add(connection)
            channel.closeFuture().addListener { connections.remove(connection) }
            channel.pipeline().addLast(
                ArrivalHandler(connection::onBytesReceived),
                StrictRequestDecoder(limits.maximumHeaderBytes),
                HttpResponseEncoder(),
                RequestAssembler(requestBuffers, limits.maximumBodyBytes),
                connection,
            )
        }
    }

    private companion object {
        /** Limits that apply until a configuration is known. */
        val DEFAULT_LIMITS =
            CallerLimits(
                maximumHeaderBytes = 16_384,
                maximumBodyBytes = 4_194_304,
                headerTimeout = 3.seconds,
                idleTimeout = 15.seconds,
            )
    }
}
