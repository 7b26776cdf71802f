package org.lovageladder.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * HTTP/1.1 client with a pool of idle connections per address. A connection carries one call at a time. The client
 * never resends a call. What a peer writes on a connection that carries no call is reported to [onUnexpected], and a
 * call that needs a new connection to [onConnect].
 */
internal class HttpClient(
    private val threads: HttpThreads,
    private val onUnexpected: (UnexpectedAnswer) -> Unit = {},
    private val onConnect: (HttpCall) -> Unit = {},
) : AutoCloseable {
    private val idleConnections = IdleConnections()
    private val connections = AtomicLong()
    private val openChannels = ConcurrentHashMap.newKeySet<Channel>()

    @Volatile
    private var closed = false

    /** Starts [call]; the returned handle can cancel it. All callbacks of [receiver] run on an event loop thread. */
    fun start(
        address: Address,
        call: HttpCall,
        receiver: HttpReceiver,
        use: ConnectionUse = ConnectionUse.POOLED,
        timeouts: HttpTimeouts = HttpTimeouts(CONNECT_TIMEOUT, answerTimeout = null),
    ): RunningHttpCall {
        val maximumBytes = call.maximumAnswerBytes ?: Int.MAX_VALUE
        val runningCall = RunningHttpCall(address, call, receiver, maximumBytes, use != ConnectionUse.SINGLE)
        return startCall(runningCall, use, timeouts)
    }

    /** Starts [call] and passes its complete answer to [onResult]; skipped answers are reported to [onSkipped]. */
    fun callWhole(
        address: Address,
        call: HttpCall,
        timeouts: HttpTimeouts,
        use: ConnectionUse = ConnectionUse.POOLED,
        onSkipped: (SkippedAnswer) -> Unit = {},
        onResult: (HttpResult) -> Unit,
    ): RunningHttpCall {
        val receiver = WholeAnswerReceiver(onSkipped, onResult)
        val maximumBytes = call.maximumAnswerBytes ?: MAXIMUM_ANSWER_BYTES
        val runningCall = RunningHttpCall(address, call, receiver, maximumBytes, use != ConnectionUse.SINGLE)
        return startCall(runningCall, use, timeouts)
    }

    private fun startCall(runningCall: RunningHttpCall, use: ConnectionUse, timeouts: HttpTimeouts): RunningHttpCall {
        timeouts.answerTimeout?.let { limit -> scheduleTimeout(runningCall, limit) }
        val isPooled = use == ConnectionUse.POOLED
        val pooled =
            if (isPooled) idleConnections.acquire(runningCall.address, runningCall.call.recognition) else null
        if (pooled == null) {
            connect(runningCall, timeouts.connectTimeout)
        } else {
            pooled.eventLoop().execute { sendOnPooled(pooled, runningCall, timeouts.connectTimeout) }
        }
        return runningCall
    }

    /** Closes the connections to [address] that carry no call, as when they may have gone silent. */
    fun closeIdle(address: Address): Unit = idleConnections.closeAll(address)

    /** Closes all connections; running calls fail. */
    override fun close() {
        closed = true
        openChannels.forEach { it.close() }
    }

    private fun sendOnPooled(channel: Channel, runningCall: RunningHttpCall, connectTimeout: Duration) {
        if (channel.isActive) {
            send(channel, runningCall)
        } else {
            connect(runningCall, connectTimeout)
        }
    }

    private fun connect(runningCall: RunningHttpCall, limit: Duration) {
        onConnect(runningCall.call)
        val bootstrap = Bootstrap()
            .group(threads.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.ALLOCATOR, HttpBuffers.allocator)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limit.inWholeMilliseconds.coerceAtLeast(1).toInt())
            .handler(ConnectionInitializer())
        bootstrap.connect(runningCall.address.ip, runningCall.address.port).addListener { connected ->
            connected as ChannelFuture
            if (connected.isSuccess) {
                send(connected.channel(), runningCall)
            } else {
                runningCall.fail(connectFailure(connected.cause()))
            }
        }
    }

    internal fun send(channel: Channel, runningCall: RunningHttpCall) {
        if (closed) {
            channel.close()
            runningCall.fail(HttpFailure(FaultCause.CANCELLED, requestSent = false, detail = "the client is closed"))
            return
        }
        val connection = channel.pipeline().get(HttpClientConnection::class.java)
        if (connection == null) {
            val detail = "the peer closed the connection before the request was sent"
            runningCall.fail(HttpFailure(FaultCause.CONNECTION_LOST, requestSent = false, detail = detail))
            return
        }
        runningCall.call.beforeSending()
        connection.send(runningCall)
    }

    private fun scheduleTimeout(runningCall: RunningHttpCall, limit: Duration) {
        val timeout = threads.group.next().schedule(
            { runningCall.onTimeout("no complete answer within $limit") },
            limit.inWholeNanoseconds,
            TimeUnit.NANOSECONDS,
        )
        runningCall.completionListener = { timeout.cancel(false) }
    }

    private fun connectFailure(cause: Throwable): HttpFailure {
        val kind = if (cause is ConnectTimeoutException) FaultCause.TIMEOUT else FaultCause.UNREACHABLE
        return HttpFailure(kind, requestSent = false, detail = cause.message ?: cause.javaClass.simpleName)
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            openChannels.add(channel)
            channel.closeFuture().addListener { openChannels.remove(channel) }
            val decoder = AnswerDecoder()
            val idleWatch = IdleWatch(connections.incrementAndGet(), decoder, onUnexpected)
            val connection = HttpClientConnection(idleConnections, decoder, idleWatch)
            channel.pipeline().addLast(idleWatch, HttpRequestEncoder(), decoder, connection)
        }
    }

    companion object {
        val CONNECT_TIMEOUT: Duration = 1.seconds
        private const val MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
    }
}
