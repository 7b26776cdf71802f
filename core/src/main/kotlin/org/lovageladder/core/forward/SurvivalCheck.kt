package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.RequestId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Finds out whether upstreams outlive the end of one of their connections. The end alone does not tell: a process that
 * crashes ends its connections in the same way as one that ends an answer without framing, or cuts it off, and lives.
 * So the upstream is asked, with a call that begins after the end. Confined to one thread.
 *
 * Load pattern: answers with neither a length nor chunks, beside upstreams that crash.
 */
internal class SurvivalCheck(
    private val port: UpstreamPort,
    private val scheduler: Scheduler,
    private val notices: UpstreamNotices,
    private val requestLimits: RequestLimits,
    private val eventSink: EventSink,
) {
    /**
     * Asks [upstream], at [healthPath] or an engine for its state when that is null, after a connection that carried
     * [request] ended. [answer] gets whether the upstream is certain to have outlived the end; false when it does not
     * answer, or accepts no call now.
     */
    fun start(
        upstream: UpstreamIncarnation,
        healthPath: String?,
        request: RequestId,
        answer: (Boolean) -> Unit,
    ): Cancellable {
        var call: Cancellable? = null
        val timer = scheduler.schedule(SETTLING_TIME) {
            if (acceptsCall(upstream)) {
                call = port.checkRunning(upstream, healthPath) { isRunning ->
                    record(upstream, request, "running=$isRunning")
                    answer(isRunning)
                }
            } else {
                record(upstream, request, "not asked: it asked for a pause, or its limit leaves no room")
                answer(false)
            }
        }
        return Cancellable {
            timer.cancel()
            call?.cancel()
        }
    }

    private fun acceptsCall(upstream: UpstreamIncarnation): Boolean {
        val now = scheduler.now()
        return notices.pausedUntil(upstream, now) == null && requestLimits.hasPermit(upstream.name, now)
    }

    private fun record(upstream: UpstreamIncarnation, request: RequestId, detail: String) {
        eventSink.record(
            EventDraft(EventKind.SURVIVAL_CHECKED, request = request, upstream = upstream.name, detail = detail),
        )
    }

    private companion object {
        /** A process that crashes ends its connections and stops listening one after the other. */
        val SETTLING_TIME: Duration = 25.milliseconds
    }
}

/** Failure of an unframed answer whose upstream is not certain to have outlived its end. */
internal val END_UNCONFIRMED =
    CallFailure(
        FaultCause.CONNECTION_LOST,
        sent = true,
        detail = "the connection ended an unframed answer, and the upstream may have crashed",
    )
