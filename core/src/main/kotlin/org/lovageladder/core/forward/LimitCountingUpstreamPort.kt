package org.lovageladder.core.forward

import kotlin.time.Duration

/**
 * Counts every call to an upstream against its limit before the call is sent through [port], whatever it is for. A
 * reservation also pays for the call that uses or releases it.
 */
internal class LimitCountingUpstreamPort(
    private val port: UpstreamPort,
    private val requestLimits: RequestLimits,
    private val scheduler: Scheduler,
) : UpstreamPort by port {
    override fun send(request: ForwardRequest, attempt: UpstreamAttempt, receiver: AnswerReceiver): Cancellable {
        if (attempt.reservation == null) count(attempt.upstream, calls = 1)
        return port.send(request, attempt, receiver)
    }

    override fun prefill(
        request: ForwardRequest,
        attempt: UpstreamAttempt,
        answer: (EngineAnswer<PrefillResult>) -> Unit,
    ): Cancellable {
        count(attempt.upstream, calls = 1)
        return port.prefill(request, attempt, answer)
    }

    override fun reserve(
        engine: UpstreamIncarnation,
        tokens: Int,
        reservationTime: Duration,
        answer: (EngineAnswer<Reservation>) -> Unit,
    ): Cancellable {
        count(engine, calls = 2)
        return port.reserve(engine, tokens, reservationTime, answer)
    }

    override fun checkRunning(
        upstream: UpstreamIncarnation,
        healthPath: String?,
        answer: (Boolean) -> Unit,
    ): Cancellable {
        count(upstream, calls = 1)
        return port.checkRunning(upstream, healthPath, answer)
    }

    override fun freePrefillResult(result: PrefillResult) {
        count(result.engine, calls = 1)
        port.freePrefillResult(result)
    }

    private fun count(upstream: UpstreamIncarnation, calls: Int): Unit =
        requestLimits.recordCalls(upstream.name, calls, scheduler.now())
}
