package org.lovageladder.standin

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.tinylog.kotlin.Logger
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The one thread that a stand-in runs on. Connections and timers share it, so the state of a stand-in needs no locks.
 */
internal class EventLoopThread : AutoCloseable {
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    val eventLoop: EventLoop = group.next() as EventLoop

    private val startNanoseconds = System.nanoTime()

    /** Time since this thread was created, from a clock that never goes back. */
    fun now(): Duration = (System.nanoTime() - startNanoseconds).nanoseconds

    /** Runs [action] after [delay] on this thread; the returned timer can be cancelled. */
    fun after(delay: Duration, action: () -> Unit): Timer {
        val nanoseconds = delay.inWholeNanoseconds.coerceAtLeast(0)
        val future = eventLoop.schedule(Runnable { action() }, nanoseconds, TimeUnit.NANOSECONDS)
        return Timer { future.cancel(false) }
    }

    /** Runs [action] once in every [period] on this thread until the stand-in is closed. */
    fun every(period: Duration, action: () -> Unit) {
        val nanoseconds = period.inWholeNanoseconds
        eventLoop.scheduleAtFixedRate({ action() }, nanoseconds, nanoseconds, TimeUnit.NANOSECONDS)
    }

    /** Runs [action] on this thread and waits for its end. Does nothing when the thread has ended. */
    fun run(action: () -> Unit) {
        if (eventLoop.inEventLoop()) {
            action()
            return
        }
        try {
            eventLoop.submit(Runnable { action() }).syncUninterruptibly()
        } catch (ended: RejectedExecutionException) {
            Logger.debug(ended, "the stand-in was closed before")
        }
    }

    /** Runs [crash] once the answer to the order that asked for it has had time to leave. */
    fun crashSoon(crash: () -> Unit) {
        after(CRASH_DELAY, crash)
    }

    /** Stops the thread. Waits for its end unless called from it. */
    override fun close() {
        val stopped = group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        if (!eventLoop.inEventLoop()) {
            stopped.awaitUninterruptibly()
        }
    }

    private companion object {
        const val SHUTDOWN_TIMEOUT_SECONDS = 2L
        val CRASH_DELAY = 10.milliseconds
    }
}

/** A scheduled action that has not run yet or is already over. */
internal fun interface Timer {
    fun cancel()
}
