package org.lovageladder.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * HTTP/1.1 client with a pool of idle connections per address and one call at a time on each. A call that was handed
 * to a connection is never sent a second time.
 */
internal class HttpClient(private val threads: HttpThreads) : AutoCloseable {
    private val idle = IdleConnections()
    private val open = ConcurrentHashMap.newKeySet<Channel>()

    @Volatile
    private var closed = false

    /** Starts [call]; the returned handle breaks it off. All of [receiver] runs on an event loop thread. */
    fun start(
        address: Address,
        call: HttpCall,
        receiver: HttpReceiver,
        use: ConnectionUse = ConnectionUse.POOLED,
        wait: HttpWait = HttpWait(CONNECT_LIMIT, answer = null),
    ): RunningHttpCall {
        val running = RunningHttpCall(address, call, receiver, call.answerBytes ?: Int.MAX_VALUE)
        return begin(running, use, wait)
    }

    /** Starts [call] and gives its whole answer to [onResult]. */
    fun ask(
        address: Address,
        call: HttpCall,
        wait: HttpWait,
        use: ConnectionUse = ConnectionUse.POOLED,
        onResult: (HttpResult) -> Unit,
    ): RunningHttpCall {
        val receiver = WholeAnswerReceiver(onResult)
        return begin(RunningHttpCall(address, call, receiver, call.answerBytes ?: WHOLE_ANSWER_BYTES), use, wait)
    }

    private fun begin(running: RunningHttpCall, use: ConnectionUse, wait: HttpWait): RunningHttpCall {
        wait.answer?.let { limit -> expireAfter(running, limit) }
        val pooled = if (use == ConnectionUse.POOLED) idle.take(running.address) else null
        if (pooled == null) {
            connect(running, wait.connect)
        } else {
            pooled.eventLoop().execute { reuse(pooled, running, wait.connect) }
        }
        return running
    }

    /** Closes all connections; calls under way fail. */
    override fun close() {
        closed = true
        open.forEach { it.close() }
    }

    private fun reuse(channel: Channel, running: RunningHttpCall, connectLimit: Duration) {
        if (channel.isActive) {
            send(channel, running)
        } else {
            connect(running, connectLimit)
        }
    }

    private fun connect(running: RunningHttpCall, limit: Duration) {
        val bootstrap = Bootstrap()
            .group(threads.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.ALLOCATOR, SmallBuffers.allocator)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limit.inWholeMilliseconds.coerceAtLeast(1).toInt())
            .handler(Initializer())
        bootstrap.connect(running.address.ip, running.address.port).addListener { connected ->
            connected as ChannelFuture
            if (connected.isSuccess) {
                send(connected.channel(), running)
            } else {
                running.fail(notConnected(connected.cause()))
            }
        }
    }

    private fun send(channel: Channel, running: RunningHttpCall) {
        if (closed) {
            channel.close()
            running.fail(HttpFailure(FaultCause.CANCELLED, sent = false, detail = "the client is closed"))
            return
        }
        channel.pipeline().get(HttpClientConnection::class.java).begin(running)
    }

    private fun expireAfter(running: RunningHttpCall, limit: Duration) {
        val expiry = threads.group.next().schedule(
            { running.expire("no whole answer within $limit") },
            limit.inWholeNanoseconds,
            TimeUnit.NANOSECONDS,
        )
        running.onOver = { expiry.cancel(false) }
    }

    private fun notConnected(cause: Throwable): HttpFailure {
        val kind = if (cause is ConnectTimeoutException) FaultCause.TIMEOUT else FaultCause.UNREACHABLE
        return HttpFailure(kind, sent = false, detail = cause.message ?: cause.javaClass.simpleName)
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            open.add(channel)
            channel.closeFuture().addListener { open.remove(channel) }
            channel.pipeline().addLast(HttpClientCodec(), HttpClientConnection(idle))
        }
    }

    companion object {
        val CONNECT_LIMIT: Duration = 1.seconds
        private const val WHOLE_ANSWER_BYTES = 16 * 1024 * 1024
    }
}
