package org.lovageladder.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Enforces the receive timeouts of [limits]. [onExpired] gets null when no request started within the keep-alive time,
 * otherwise a text that says which timeout ended. Confined to the event loop thread.
 */
internal class ReceiveTimer(
    private val loop: EventLoop,
    private val limits: HttpLimits,
    private val onExpired: (String?) -> Unit,
) {
    private var timeoutTask: Future<*>? = null
    private var startedAt = 0L
    private var lastArrivalAt = 0L
    private var requestStarted = false

    /** Starts to wait for the first byte of a request. */
    fun awaitRequest() {
        requestStarted = false
        startedAt = System.nanoTime()
        schedule(limits.idleTimeout)
    }

    /** Called when bytes of a request arrive. */
    fun onBytesArrived() {
        lastArrivalAt = System.nanoTime()
        if (requestStarted) return
        requestStarted = true
        startedAt = lastArrivalAt
        schedule(minOf(limits.readTimeout, limits.requestTimeout))
    }

    fun stop() {
        timeoutTask?.cancel(false)
        timeoutTask = null
    }

    private fun schedule(delay: Duration) {
        stop()
        timeoutTask = loop.schedule(::checkTimeouts, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    private fun checkTimeouts() {
        timeoutTask = null
        val now = System.nanoTime()
        val idleTimeLeft = limits.readTimeout - (now - lastArrivalAt).nanoseconds
        val requestTimeLeft = limits.requestTimeout - (now - startedAt).nanoseconds
        when {
            !requestStarted -> onExpired(null)
            !idleTimeLeft.isPositive() -> onExpired(
                "no further bytes of the request arrived within ${limits.readTimeout}",
            )
            !requestTimeLeft.isPositive() -> onExpired("the request was not complete within ${limits.requestTimeout}")
            else -> schedule(minOf(idleTimeLeft, requestTimeLeft))
        }
    }
}

/** Reports the arrival of bytes before they are decoded, so that an incomplete request head counts too. */
internal class ArrivalHandler(private val onArrival: () -> Unit) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        onArrival()
        context.fireChannelRead(message)
    }
}
