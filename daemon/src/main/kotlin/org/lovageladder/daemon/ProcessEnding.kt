package org.lovageladder.daemon

import org.tinylog.kotlin.Logger
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/** Course of a process's end: a stop request, at most [drainTimeout] to finish what is in flight, then the end. */
internal class ProcessEnding(private val drainTimeout: Duration, private val timer: ScheduledExecutorService) {
    private val stopRequested = AtomicBoolean()
    private val end = CompletableFuture<ProcessEnd>()

    /** Runs [stop] at the first request, and sets the time by which the process ends in any case. */
    fun requestStop(stop: () -> Unit) {
        if (!stopRequested.compareAndSet(false, true)) return
        val timeout = Runnable { end.complete(ProcessEnd.DRAIN_TIMEOUT) }
        timer.schedule(timeout, drainTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        stop()
    }

    /** All work is finished. */
    fun finished() {
        end.complete(ProcessEnd.FINISHED)
    }

    /** The control thread broke off with [failure]. */
    fun failed(failure: Throwable) {
        Logger.error(failure, "the control thread broke off")
        end.complete(ProcessEnd.FAILED)
    }

    /** Waits for the end. */
    fun await(): ProcessEnd = end.get()
}
