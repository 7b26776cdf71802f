package org.lovageladder.core

import kotlin.time.Duration

/**
 * Queue and running calls of one prefill engine. A prefill that cannot finish in time is refused at once, so that
 * its decode reservation is not held for nothing.
 */
internal class PrefillWork(private val context: CompanionContext, override var upstream: ReleaseEntry.Upstream) :
    UpstreamWork {
    private val output = context.output
    private val attempts = context.attempts
    private val waiting = WorthQueue<PeerMessage.StartPrefill>()
    private val calls = RunningCalls(context)
    private val runningTokens = HashMap<AttemptId, Int>()
    private val rate = PrefillRate()

    override val load: UpstreamLoad
        get() = UpstreamLoad(upstream.name, 0, 0, calls.count, waiting.size, queuedTokens())

    override val idle: Boolean get() = waiting.size == 0 && calls.count == 0
    override val reservations: Int get() = 0
    override val runningCalls: Int get() = calls.count

    fun start(connection: ConnectionId, message: PeerMessage.StartPrefill) {
        attempts.open(message.attempt, this, connection)
        waiting.add(message.attempt, message.worth, context.now + message.finishWithin, message)
        if (waiting.size > context.settings.queueLimit) waiting.last()?.let { refuse(it.attempt, QUEUE_FULL) }
        refuseWhatCannotFinish()
    }

    override fun cancel(attempt: AttemptId, ending: AttemptEnding) {
        if (calls.find(attempt) != null) return calls.cancel(attempt)
        waiting.remove(attempt)
        attempts.close(attempt, ending)
    }

    override fun reported(attempt: AttemptId, report: UpstreamReport) {
        val call = calls.find(attempt) ?: return
        when (report) {
            is UpstreamReport.PrefillReady -> finish(call, report.ticket)
            is UpstreamReport.Failed -> fail(call, report.fault, report.execution)
            is UpstreamReport.Token, is UpstreamReport.Finished, is UpstreamReport.Answered ->
                fail(call, fault(FaultCause.PROTOCOL, "report of another kind of call"), Execution.UNKNOWN)
        }
    }

    override fun cancelEnded(attempt: AttemptId, confirmed: Boolean) {
        val call = calls.cancelEnded(attempt, confirmed) ?: return
        output.record(EventKind.ATTEMPT_CANCELLED, attempt, upstream.name)
        free(call)
    }

    override fun refuseWaiting(fault: Fault) {
        for (entry in waiting.removeAll()) context.refuse(entry.attempt, fault, retryAfter(), load)
    }

    override fun advance(mayStart: Boolean) {
        calls.repeatCancels()
        waiting.removeDueAt(context.now).forEach { refuse(it.attempt, "not started in time", FaultCause.TIMEOUT) }
        while (mayStart && calls.count < upstream.runningLimit) {
            val next = waiting.first() ?: return
            waiting.remove(next.attempt)
            startCall(next.content)
        }
    }

    override fun nextDeadline(): Moment? = context.earliest(listOf(waiting.nextDeadline(), calls.nextDeadline()))

    private fun startCall(message: PeerMessage.StartPrefill) {
        runningTokens[message.attempt] = message.content.promptTokens
        calls.start(message.attempt, upstream, UpstreamCall.Prefill(message.content, message.priority))
        output.record(EventKind.PREFILL_STARTED, message.attempt, upstream.name)
    }

    /** Refuses each waiting prefill whose turn, as estimated, comes too late for it; an idle engine is always tried. */
    private fun refuseWhatCannotFinish() {
        var ahead = runningRemainder()
        var isFirst = calls.count == 0
        for (entry in waiting) {
            val tokens = entry.content.content.promptTokens
            val end = context.now + rate.timeFor(ahead + tokens)
            if (end > entry.deadline && !isFirst) {
                waiting.remove(entry.attempt)
                refuse(entry.attempt, "estimated to end ${end - entry.deadline} late")
                continue
            }
            ahead += tokens
            isFirst = false
        }
    }

    private fun runningRemainder(): Long {
        val perThousand = rate.timeFor(TOKEN_UNIT).inWholeMicroseconds
        return calls.all().sumOf { call ->
            val elapsed = (context.now - call.startedAt).inWholeMicroseconds
            val done = if (perThousand == 0L) 0L else elapsed * TOKEN_UNIT / perThousand / calls.count
            (runningTokens.getOrDefault(call.attempt, 0) - done).coerceAtLeast(0)
        }
    }

    private fun queuedTokens(): Long = waiting.sumOf { it.content.content.promptTokens.toLong() }

    private fun retryAfter(): Duration = rate.timeFor(queuedTokens() + runningRemainder())
        .coerceIn(DrainEstimate.SHORTEST_RETRY, DrainEstimate.LONGEST_RETRY)

    private fun finish(call: RunningCall, ticket: TransferTicket) {
        val attempt = call.attempt
        val owner = attempts.owner(attempt)
        rate.measured(runningTokens.getOrDefault(attempt, 0), context.now - call.startedAt, call.concurrency)
        calls.end(attempt)
        free(call)
        if (call.cancelling) return output.record(EventKind.PREFILL_WASTED, attempt, upstream.name)
        output.record(EventKind.PREFILL_READY, attempt, upstream.name)
        output.send(owner, PeerMessage.PrefillReady(attempt, ticket, load))
    }

    private fun fail(call: RunningCall, fault: Fault, execution: Execution) {
        val attempt = call.attempt
        val owner = attempts.owner(attempt)
        val wasCancelling = call.cancelling
        if (mayStillRun(fault)) {
            calls.cancel(attempt)
        } else {
            calls.end(attempt)
            free(call)
        }
        if (wasCancelling) return
        output.record(EventKind.ATTEMPT_FAILED, attempt, upstream.name, detail = fault.toString())
        output.send(owner, PeerMessage.AttemptFailed(attempt, fault, execution, load))
    }

    private fun free(call: RunningCall) {
        runningTokens.remove(call.attempt)
        attempts.close(call.attempt, if (call.cancelling) AttemptEnding.CANCELLED else AttemptEnding.ANSWERED)
    }

    private fun refuse(attempt: AttemptId, detail: String, cause: FaultCause = FaultCause.REJECTED) {
        waiting.remove(attempt)
        context.refuse(attempt, fault(cause, detail), retryAfter(), load)
    }

    private fun fault(cause: FaultCause, detail: String) = Fault(Step.PREFILL, upstream.name.text, cause, detail)

    private companion object {
        const val TOKEN_UNIT = 1000L
    }
}
