package org.lovageladder.http.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.forward.Cancellable
import org.lovageladder.core.forward.Scheduler
import org.lovageladder.http.HttpThreads
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Provides time and timers on the event loop of [threads], which must have one thread only. */
public class EventLoopScheduler(threads: HttpThreads) : Scheduler {
    private val loop = threads.group.next()

    override fun now(): Moment = Moment(TimeUnit.NANOSECONDS.toMicros(System.nanoTime()))

    override fun schedule(delay: Duration, action: () -> Unit): Cancellable {
        val timer = loop.schedule(action, delay.inWholeNanoseconds.coerceAtLeast(0), TimeUnit.NANOSECONDS)
        return Cancellable { timer.cancel(false) }
    }

    /** Runs [action] on the event loop thread. */
    public fun execute(action: () -> Unit): Unit = loop.execute(action)
}
