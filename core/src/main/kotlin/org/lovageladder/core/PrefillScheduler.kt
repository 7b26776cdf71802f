package org.lovageladder.core

import kotlin.time.Duration

/**
 * Queue and running calls of one prefill engine. A prefill that cannot finish in time is refused at once, so that its
 * decode reservation is not held in vain.
 */
internal class PrefillScheduler(private val context: CompanionContext, override var upstream: ReleaseEntry.Upstream) :
    UpstreamScheduler {
    private val output = context.output
    private val attempts = context.attempts
    private val queue = WorthQueue<PeerMessage.StartPrefill>()
    private val calls = RunningCalls(context)
    private val runningTokens = HashMap<AttemptId, Int>()
    private val rate = PrefillRate()

    override val load: UpstreamLoad
        get() = UpstreamLoad(upstream.name, 0, 0, calls.count, queue.size, queuedTokens())

    override val isIdle: Boolean get() = queue.size == 0 && calls.count == 0
    override val reservationCount: Int get() = 0
    override val runningCallCount: Int get() = calls.count

    fun start(connection: ConnectionId, message: PeerMessage.StartPrefill) {
        attempts.open(message.attempt, this, connection)
        queue.add(message.attempt, message.worth, context.now + message.finishWithin, message)
        if (queue.size > context.settings.queueLimit) queue.last()?.let { refuse(it.attempt, QUEUE_FULL) }
        refuseLatePrefills()
    }

    override fun cancel(attempt: AttemptId, ending: AttemptEnding) {
        if (calls.find(attempt) != null) return calls.cancel(attempt)
        queue.remove(attempt)
        attempts.close(attempt, ending)
    }

    override fun onReport(attempt: AttemptId, report: UpstreamReport) {
        val call = calls.find(attempt) ?: return
        when (report) {
            is UpstreamReport.PrefillReady -> finish(call, report.ticket)
            is UpstreamReport.Failed -> fail(call, report.fault, report.execution)
            is UpstreamReport.Token, is UpstreamReport.Finished, is UpstreamReport.Answered ->
                fail(call, fault(FaultCause.PROTOCOL, "report of another kind of call"), Execution.UNKNOWN)
        }
    }

    override fun onCancelEnded(attempt: AttemptId, confirmed: Boolean) {
        val call = calls.onCancelEnded(attempt, confirmed) ?: return
        output.record(EventKind.ATTEMPT_CANCELLED, attempt, upstream.name)
        closeAttempt(call)
    }

    override fun refuseWaiting(fault: Fault) {
        for (entry in queue.removeAll()) context.refuse(entry.attempt, fault, retryAfter(), load)
    }

    override fun advance(mayStart: Boolean) {
        calls.repeatCancels()
        queue.removeDueAt(context.now).forEach { refuse(it.attempt, "not started in time", FaultCause.TIMEOUT) }
        while (mayStart && calls.count < upstream.runningLimit) {
            val next = queue.first() ?: return
            queue.remove(next.attempt)
            startCall(next.message)
        }
    }

    override fun nextDeadline(): Moment? = context.earliest(listOf(queue.nextDeadline(), calls.nextDeadline()))

    private fun startCall(message: PeerMessage.StartPrefill) {
        runningTokens[message.attempt] = message.content.promptTokens
        calls.start(message.attempt, upstream, UpstreamCall.Prefill(message.content, message.priority))
        output.record(EventKind.PREFILL_STARTED, message.attempt, upstream.name)
    }

    /**
     * Refuses each queued prefill that is estimated to end after its deadline. The first one for an idle engine is
     * always tried.
     */
    private fun refuseLatePrefills() {
        var tokensAhead = remainingRunningTokens()
        var isFirst = calls.count == 0
        for (entry in queue) {
            val tokens = entry.message.content.promptTokens
            val end = context.now + rate.timeFor(tokensAhead + tokens)
            if (end > entry.deadline && !isFirst) {
                queue.remove(entry.attempt)
                refuse(entry.attempt, "estimated to end ${end - entry.deadline} after its deadline")
                continue
            }
            tokensAhead += tokens
            isFirst = false
        }
    }

    private fun remainingRunningTokens(): Long {
        val microsecondsPerUnit = rate.timeFor(RATE_UNIT_TOKENS).inWholeMicroseconds
        return calls.all().sumOf { call ->
            val elapsed = (context.now - call.startedAt).inWholeMicroseconds
            val done =
                if (microsecondsPerUnit == 0L) 0L else elapsed * RATE_UNIT_TOKENS / microsecondsPerUnit / calls.count
            (runningTokens.getOrDefault(call.attempt, 0) - done).coerceAtLeast(0)
        }
    }

    private fun queuedTokens(): Long = queue.sumOf { it.message.content.promptTokens.toLong() }

    private fun retryAfter(): Duration = rate.timeFor(queuedTokens() + remainingRunningTokens())
        .coerceIn(RetryDelayEstimate.MINIMUM_RETRY_DELAY, RetryDelayEstimate.MAXIMUM_RETRY_DELAY)

    private fun finish(call: RunningCall, ticket: TransferTicket) {
        val attempt = call.attempt
        val owner = attempts.owner(attempt)
        rate.recordPrefill(runningTokens.getOrDefault(attempt, 0), context.now - call.startedAt, call.concurrency)
        calls.end(attempt)
        closeAttempt(call)
        if (call.isCancelling) return output.record(EventKind.PREFILL_WASTED, attempt, upstream.name)
        output.record(EventKind.PREFILL_READY, attempt, upstream.name)
        output.send(owner, PeerMessage.PrefillReady(attempt, ticket, load))
    }

    private fun fail(call: RunningCall, fault: Fault, execution: Execution) {
        val attempt = call.attempt
        val owner = attempts.owner(attempt)
        val wasCancelling = call.isCancelling
        if (mayStillRun(fault)) {
            calls.cancel(attempt)
        } else {
            calls.end(attempt)
            closeAttempt(call)
        }
        if (wasCancelling) return
        output.record(EventKind.ATTEMPT_FAILED, attempt, upstream.name, detail = fault.toString())
        output.send(owner, PeerMessage.AttemptFailed(attempt, fault, execution, load))
    }

    private fun closeAttempt(call: RunningCall) {
        runningTokens.remove(call.attempt)
        attempts.close(call.attempt, if (call.isCancelling) AttemptEnding.CANCELLED else AttemptEnding.ANSWERED)
    }

    private fun refuse(attempt: AttemptId, detail: String, cause: FaultCause = FaultCause.REJECTED) {
        queue.remove(attempt)
        context.refuse(attempt, fault(cause, detail), retryAfter(), load)
    }

    private fun fault(cause: FaultCause, detail: String) = Fault(Step.PREFILL, upstream.name.text, cause, detail)

    private companion object {
        const val RATE_UNIT_TOKENS = 1000L
    }
}
