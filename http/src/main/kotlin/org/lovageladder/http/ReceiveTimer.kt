package org.lovageladder.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoop
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Watches that requests come in time. [onExpired] is given null when no request began, else what took too long.
 * Runs on the event loop thread.
 */
internal class ReceiveTimer(
    private val loop: EventLoop,
    private val limits: HttpLimits,
    private val onExpired: (String?) -> Unit,
) {
    private var pending: Future<*>? = null
    private var startedAt = 0L
    private var lastArrivalAt = 0L
    private var begun = false

    /** Waits for the first byte of a request. */
    fun awaitRequest() {
        begun = false
        startedAt = System.nanoTime()
        schedule(limits.keepAlive)
    }

    /** Part of a request came. */
    fun bytesArrived() {
        lastArrivalAt = System.nanoTime()
        if (begun) return
        begun = true
        startedAt = lastArrivalAt
        schedule(minOf(limits.readIdle, limits.readWhole))
    }

    fun stop() {
        pending?.cancel(false)
        pending = null
    }

    private fun schedule(delay: Duration) {
        stop()
        pending = loop.schedule(::check, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    private fun check() {
        pending = null
        val now = System.nanoTime()
        val idleLeft = limits.readIdle - (now - lastArrivalAt).nanoseconds
        val wholeLeft = limits.readWhole - (now - startedAt).nanoseconds
        when {
            !begun -> onExpired(null)
            !idleLeft.isPositive() -> onExpired("no further part of the request came within ${limits.readIdle}")
            !wholeLeft.isPositive() -> onExpired("the request was not whole within ${limits.readWhole}")
            else -> schedule(minOf(idleLeft, wholeLeft))
        }
    }
}

/** Tells of bytes before they are decoded, so that a half-sent head counts too. */
internal class ArrivalHandler(private val arrived: () -> Unit) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        arrived()
        context.fireChannelRead(message)
    }
}
