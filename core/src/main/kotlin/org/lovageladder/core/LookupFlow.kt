package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Course of an idempotent call of a plain service. A call that takes longer than most recent ones is hedged on
 * another upstream within the hedge budget (Dean and Barroso, "The Tail at Scale", 2013): the first answer wins and
 * the other call is cancelled. A failed call is retried within the retry budget while its target can be met.
 */
internal class LookupFlow(
    private val work: EntryWork,
    private val context: RequestContext,
    private val content: RequestContent.Plain,
    private val idempotencyKey: IdempotencyKey?,
    private val target: LatencyTarget.Answer,
    private val acceptedAt: Moment,
) : RequestFlow {
    private val running = mutableListOf<Attempt>()
    private val excluded = mutableSetOf<UpstreamName>()
    private var mayHaveRun = false
    private var deadline: Timer? = null
    private var hedge: Timer? = null

    private val due: Moment get() = acceptedAt + target.within

    override fun begin(now: Moment) {
        deadline = work.timers.at(due) { expire() }
        if (!start(now)) refuse(RefusalReason.NO_UPSTREAM, detail = "no usable upstream in the service's pool")
    }

    override fun callerLeft(now: Moment) {
        release()
        context.abandon()
    }

    override fun received(attempt: Attempt, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.PlainFinished -> answered(attempt, message, now)
            is PeerMessage.Refused -> {
                work.attempts.learn(attempt, message.load, now)
                brokeOff(attempt, message.fault, message.retryAfter, now)
            }
            is PeerMessage.AttemptFailed -> {
                work.attempts.learn(attempt, message.load, now)
                if (message.execution != Execution.NOT_RUN) mayHaveRun = true
                brokeOff(attempt, message.fault, DEFAULT_RETRY_AFTER, now)
            }
            else -> Unit
        }
    }

    override fun lost(attempt: Attempt, fault: Fault, now: Moment) {
        mayHaveRun = true
        brokeOff(attempt, fault, DEFAULT_RETRY_AFTER, now)
    }

    private fun start(now: Moment): Boolean {
        val pool = context.service.plainPool ?: return false
        val upstream = work.choice.pick(pool, Placement.Plain, excluded, now) ?: return false
        val id = context.nextAttempt()
        val message = PeerMessage.StartPlain(
            attempt = id,
            upstream = upstream.name,
            content = content,
            claim = null,
            idempotencyKey = idempotencyKey,
            priority = context.requestClass.priority,
            worth = context.requestClass.worth,
            startWithin = (due - now).coerceAtLeast(Duration.ZERO),
        )
        context.record(EventKind.UPSTREAM_CHOSEN, upstream.name)
        val attempt = work.attempts.begin(id, upstream, this, message, now) ?: return false
        running += attempt
        excluded += upstream.name
        scheduleHedge(pool, now)
        return true
    }

    private fun scheduleHedge(pool: PoolName, now: Moment) {
        if (!work.settings.hedging || running.size > 1) return
        val delay = hedgeDelay(pool) ?: return
        hedge?.cancel()
        hedge = work.timers.at(now + delay) { hedge(it) }
    }

    /** A high quantile of recent latencies, the median over the pool's upstreams, so that a slow one sets no bar. */
    private fun hedgeDelay(pool: PoolName): Duration? {
        val quantiles = work.table.nearest(pool).mapNotNull { it.firstLatency.quantile(HEDGE_QUANTILE) }.sorted()
        if (quantiles.isEmpty()) return null
        return (quantiles[(quantiles.size - 1) / 2] * HEDGE_FACTOR).coerceAtLeast(HEDGE_FLOOR)
    }

    private fun hedge(now: Moment) {
        if (context.over || running.size != 1) return
        val slow = running.single()
        if (!work.hedges.take()) return
        observe(slow, now)
        if (start(now)) context.record(EventKind.ATTEMPT_HEDGED, slow.upstream.name)
    }

    private fun answered(attempt: Attempt, message: PeerMessage.PlainFinished, now: Moment) {
        work.attempts.learn(attempt, message.load, now)
        work.attempts.end(attempt)
        observe(attempt, now)
        if (context.over) return
        running.remove(attempt)
        work.retries.succeeded()
        work.hedges.succeeded()
        release()
        context.give(Outcome.Answered(message.answer))
    }

    private fun observe(attempt: Attempt, now: Moment) {
        attempt.upstream.firstLatency.observe(now - attempt.startedAt)
        work.table.judge(attempt.upstream, UpstreamRecord::firstLatency, now)
    }

    private fun brokeOff(attempt: Attempt, fault: Fault, retryAfter: Duration, now: Moment) {
        work.attempts.end(attempt)
        running.remove(attempt)
        if (context.over || running.isNotEmpty()) return
        context.record(EventKind.ATTEMPT_FAILED, attempt.upstream.name, fault.toString())
        if (now < due && work.retries.take()) {
            context.record(EventKind.ATTEMPT_RETRIED, detail = fault.toString())
            if (start(now)) return
        }
        val reason = if (fault.cause == FaultCause.REJECTED || fault.cause == FaultCause.TIMEOUT) {
            RefusalReason.OVERLOADED
        } else {
            RefusalReason.UPSTREAM_FAILED
        }
        refuse(reason, retryAfter, fault)
    }

    private fun expire() {
        if (context.over) return
        refuse(RefusalReason.DEADLINE, detail = "no answer within ${target.within}")
    }

    private fun refuse(
        reason: RefusalReason,
        retryAfter: Duration = DEFAULT_RETRY_AFTER,
        fault: Fault? = null,
        detail: String = "",
    ) {
        val execution = if (running.isEmpty() && !mayHaveRun) Execution.NOT_RUN else Execution.UNKNOWN
        release()
        context.give(
            Outcome.Refused(reason, execution, retryAfter = work.spread(retryAfter), fault = fault, detail = detail),
        )
    }

    private fun release() {
        deadline?.cancel()
        hedge?.cancel()
        running.forEach { work.attempts.cancel(it) }
        running.clear()
    }

    private companion object {
        const val HEDGE_QUANTILE = 0.95
        const val HEDGE_FACTOR = 1.5
        val HEDGE_FLOOR = 5.milliseconds
    }
}
