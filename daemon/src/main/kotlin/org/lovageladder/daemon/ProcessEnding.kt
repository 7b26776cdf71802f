package org.lovageladder.daemon

import org.tinylog.kotlin.Logger
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/** Ends a process after a stop request: when requests in flight are finished, or [drainTimeout] after the request. */
internal class ProcessEnding(private val drainTimeout: Duration, private val timer: ScheduledExecutorService) {
    private val isStopRequested = AtomicBoolean()
    private val end = CompletableFuture<ProcessEnd>()

    /** Runs [beginDrain] and starts the drain timeout. Only the first call has an effect. */
    fun requestStop(beginDrain: () -> Unit) {
        if (!isStopRequested.compareAndSet(false, true)) return
        val onTimeout = Runnable { end.complete(ProcessEnd.DRAIN_TIMEOUT) }
        timer.schedule(onTimeout, drainTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        beginDrain()
    }

    /** Ends the process because all requests in flight are finished. */
    fun finished() {
        end.complete(ProcessEnd.FINISHED)
    }

    /** Ends the process because the control thread failed with [failure]. */
    fun onControlThreadFailure(failure: Throwable) {
        Logger.error(failure, "the control thread failed")
        end.complete(ProcessEnd.FAILED)
    }

    /** Waits until the process ends. */
    fun await(): ProcessEnd = end.get()
}
