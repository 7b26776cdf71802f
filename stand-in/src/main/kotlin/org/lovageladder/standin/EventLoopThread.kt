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
 * The single event-loop thread of a stand-in. All its connections and timers run on it, so its state needs no locks.
 */
internal class EventLoopThread : AutoCloseable {
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    val eventLoop: EventLoop = group.next() as EventLoop

    private val startNanoseconds = System.nanoTime()

    /** Time since this thread was created, from a monotonic clock. */
    fun now(): Duration = (System.nanoTime() - startNanoseconds).nanoseconds

    /** Runs [action] after [delay] on this thread; the returned timer can be cancelled. */
    fun schedule(delay: Duration, action: () -> Unit): Timer {
        val nanoseconds = delay.inWholeNanoseconds.coerceAtLeast(0)
        val future = eventLoop.schedule(Runnable { action() }, nanoseconds, TimeUnit.NANOSECONDS)
        return Timer { future.cancel(false) }
    }

    /** Runs [action] on this thread every [period], first after one period, until the stand-in is closed. */
    fun scheduleEvery(period: Duration, action: () -> Unit) {
        val nanoseconds = period.inWholeNanoseconds
        eventLoop.scheduleAtFixedRate({ action() }, nanoseconds, nanoseconds, TimeUnit.NANOSECONDS)
    }

    /** Runs [action] on this thread and waits for its end. Does nothing after [close]. */
    fun runAndWait(action: () -> Unit) {
        if (eventLoop.inEventLoop()) {
            action()
            return
        }
        try {
            eventLoop.submit(Runnable { action() }).syncUninterruptibly()
        } catch (shutDown: RejectedExecutionException) {
            Logger.debug(shutDown, "event loop is already shut down, action not run")
        }
    }

    /** Runs [crash] after a short delay, so that the answer to the fault request can still be sent. */
    fun scheduleCrash(crash: () -> Unit) {
        schedule(CRASH_DELAY, crash)
    }

    /** Stops the thread and waits for its end, except when called on the thread itself. */
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

/** Handle of a scheduled action; [cancel] has no effect once the action has run. */
internal fun interface Timer {
    fun cancel()
}
