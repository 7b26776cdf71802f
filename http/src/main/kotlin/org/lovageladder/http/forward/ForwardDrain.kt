package org.lovageladder.http.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.forward.Scheduler
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Shuts down the [server] of a process that forwards requests. New callers are told to use other hosts, what is open is
 * finished, and [onEnded] is called once every request that was read is answered and its answer is handed to the
 * operating system. No further request is read from then on. Confined to the event loop thread.
 */
public class ForwardDrain(
    private val server: ForwardServer,
    private val scheduler: Scheduler,
    private val onEnded: () -> Unit,
) {
    /**
     * Begins to shut down; the process was told so at [toldAt], and requests that are still open get their final answer
     * at [finalDeadline]. Idle connections stay open while callers may still send on them: until they use other hosts,
     * or until no request can be finished any more.
     */
    public fun start(toldAt: Moment, finalDeadline: Moment) {
        server.drain()
        scheduleAt(minOf(toldAt + BALANCER_REMOVAL_DELAY, finalDeadline)) {
            server.closeIdle()
            endWhenIdle()
        }
        scheduleAt(finalDeadline) { server.stopListening() }
    }

    private fun scheduleAt(moment: Moment, action: () -> Unit) {
        scheduler.schedule((moment - scheduler.now()).coerceAtLeast(Duration.ZERO), action)
    }

    /**
     * Ends once all requests are answered and the answers are written. The listener and the idle connections are closed
     * in the same step on the event loop, so that no request is read between this decision and the end.
     */
    private fun endWhenIdle() {
        if (!server.isIdle) {
            scheduler.schedule(CHECK_INTERVAL) { endWhenIdle() }
            return
        }
        server.stopListening()
        server.closeIdle()
        onEnded()
    }

    private companion object {
        /**
         * Time until callers use other hosts: the platform's balancer probes once a second and removes a host after two
         * probes that found it not ready.
         */
        val BALANCER_REMOVAL_DELAY: Duration = 3.seconds
        val CHECK_INTERVAL: Duration = 50.milliseconds
    }
}
