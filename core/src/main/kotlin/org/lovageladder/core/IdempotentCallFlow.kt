package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Handles an idempotent call of a plain service. A call that takes longer than most recent ones is hedged on another
 * upstream within the hedge budget (Dean and Barroso, "The Tail at Scale", 2013): the first answer is used and the
 * other call is cancelled. A failed call is retried within the retry budget until its deadline.
 */
internal class IdempotentCallFlow(
    private val components: EntryComponents,
    private val context: RequestContext,
    private val content: RequestContent.Plain,
    private val idempotencyKey: IdempotencyKey?,
    private val target: LatencyTarget.Answer,
    private val acceptedAt: Moment,
) : RequestFlow {
    private val running = mutableListOf<Attempt>()
    private val excluded = mutableSetOf<UpstreamName>()
    private var mayHaveRun = false
    private var deadlineTimer: Timer? = null
    private var hedgeTimer: Timer? = null

    private val deadline: Moment get() = acceptedAt + target.within

    override fun begin(now: Moment) {
        deadlineTimer = components.timers.at(deadline) { onDeadline() }
        if (!startCall(now)) refuse(RefusalReason.NO_UPSTREAM, detail = "no available upstream in the service's pool")
    }

    override fun onCallerDisconnected(now: Moment) {
        releaseResources()
        context.abandon()
    }

    override fun onMessage(attempt: Attempt, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.PlainFinished -> onAnswered(attempt, message, now)
            is PeerMessage.Refused -> {
                components.attempts.recordLoad(attempt, message.load, now)
                handleFailure(attempt, message.fault, message.retryAfter, now)
            }
            is PeerMessage.AttemptFailed -> {
                components.attempts.recordLoad(attempt, message.load, now)
                if (message.execution != Execution.NOT_RUN) mayHaveRun = true
                handleFailure(attempt, message.fault, DEFAULT_RETRY_AFTER, now)
            }
            else -> Unit
        }
    }

    override fun onConnectionLost(attempt: Attempt, fault: Fault, now: Moment) {
        mayHaveRun = true
        handleFailure(attempt, fault, DEFAULT_RETRY_AFTER, now)
    }

    private fun startCall(now: Moment): Boolean {
        val pool = context.service.plainPool ?: return false
        val upstream = components.selector.select(pool, Placement.Plain, excluded, now) ?: return false
        val id = context.nextAttemptId()
        val message = PeerMessage.StartPlain(
            attempt = id,
            upstream = upstream.name,
            content = content,
            claim = null,
            idempotencyKey = idempotencyKey,
            priority = context.requestClass.priority,
            worth = context.requestClass.worth,
            startWithin = (deadline - now).coerceAtLeast(Duration.ZERO),
        )
        context.record(EventKind.UPSTREAM_CHOSEN, upstream.name)
        val attempt = components.attempts.start(id, upstream, this, message, now) ?: return false
        running += attempt
        excluded += upstream.name
        scheduleHedge(pool, now)
        return true
    }

    private fun scheduleHedge(pool: PoolName, now: Moment) {
        if (!components.settings.hedging || running.size > 1) return
        val delay = hedgeDelay(pool) ?: return
        hedgeTimer?.cancel()
        hedgeTimer = components.timers.at(now + delay) { startHedge(it) }
    }

    /**
     * Hedge delay: the median over the pool's upstreams of a high quantile of their recent latencies, so that one slow
     * upstream does not lengthen it.
     */
    private fun hedgeDelay(pool: PoolName): Duration? {
        val quantiles = components.table.nearestUsable(pool)
            .mapNotNull { it.firstLatency.quantile(HEDGE_QUANTILE) }
            .sorted()
        if (quantiles.isEmpty()) return null
        return (quantiles[(quantiles.size - 1) / 2] * HEDGE_FACTOR).coerceAtLeast(MINIMUM_HEDGE_DELAY)
    }

    private fun startHedge(now: Moment) {
        if (context.isFinished || running.size != 1) return
        val slowAttempt = running.single()
        if (!components.hedgeBudget.tryTake()) return
        recordLatency(slowAttempt, now)
        if (startCall(now)) context.record(EventKind.ATTEMPT_HEDGED, slowAttempt.upstream.name)
    }

    private fun onAnswered(attempt: Attempt, message: PeerMessage.PlainFinished, now: Moment) {
        components.attempts.recordLoad(attempt, message.load, now)
        components.attempts.end(attempt)
        recordLatency(attempt, now)
        if (context.isFinished) return
        running.remove(attempt)
        components.retryBudget.recordSuccess()
        components.hedgeBudget.recordSuccess()
        releaseResources()
        context.finish(Outcome.Answered(message.answer))
    }

    private fun recordLatency(attempt: Attempt, now: Moment) {
        attempt.upstream.firstLatency.record(now - attempt.startedAt)
        components.table.updateProbation(attempt.upstream, UpstreamRecord::firstLatency, now)
    }

    private fun handleFailure(attempt: Attempt, fault: Fault, retryAfter: Duration, now: Moment) {
        components.attempts.end(attempt)
        running.remove(attempt)
        if (context.isFinished || running.isNotEmpty()) return
        context.record(EventKind.ATTEMPT_FAILED, attempt.upstream.name, fault.toString())
        if (now < deadline && components.retryBudget.tryTake()) {
            context.record(EventKind.ATTEMPT_RETRIED, detail = fault.toString())
            if (startCall(now)) return
        }
        val reason = if (fault.cause == FaultCause.REJECTED || fault.cause == FaultCause.TIMEOUT) {
            RefusalReason.OVERLOADED
        } else {
            RefusalReason.UPSTREAM_FAILED
        }
        refuse(reason, retryAfter, fault)
    }

    private fun onDeadline() {
        if (context.isFinished) return
        refuse(RefusalReason.DEADLINE, detail = "no answer within ${target.within}")
    }

    private fun refuse(
        reason: RefusalReason,
        retryAfter: Duration = DEFAULT_RETRY_AFTER,
        fault: Fault? = null,
        detail: String = "",
    ) {
        val execution = if (running.isEmpty() && !mayHaveRun) Execution.NOT_RUN else Execution.UNKNOWN
        releaseResources()
        context.finish(
            Outcome.Refused(
                reason,
                execution,
                retryAfter = components.addJitter(retryAfter),
                fault = fault,
                detail = detail,
            ),
        )
    }

    private fun releaseResources() {
        deadlineTimer?.cancel()
        hedgeTimer?.cancel()
        running.forEach { components.attempts.cancel(it) }
        running.clear()
    }

    private companion object {
        const val HEDGE_QUANTILE = 0.95
        const val HEDGE_FACTOR = 1.5
        val MINIMUM_HEDGE_DELAY = 5.milliseconds
    }
}
