package org.lovageladder.core

import kotlin.time.Duration

/**
 * Reservations and running decodes of one engine. Memory counts from the grant of a reservation until the engine
 * can hold nothing for the attempt any more.
 */
internal class DecodeWork(private val context: CompanionContext, upstream: ReleaseEntry.Upstream) : UpstreamWork {
    private class Reservation(val lapsesAt: Moment)

    private val output = context.output
    private val attempts = context.attempts
    private val ledger = MemoryLedger(upstream.pieces, upstream.runningLimit)
    private val waiting = WorthQueue<PeerMessage.Reserve>()
    private val reserved = LinkedHashMap<AttemptId, Reservation>()
    private val calls = RunningCalls(context)
    private val firstIndexes = HashMap<AttemptId, Int>()
    private val drain = DrainEstimate()

    override var upstream: ReleaseEntry.Upstream = upstream
        set(value) {
            field = value
            ledger.total = value.pieces
            ledger.limit = value.runningLimit
        }

    override val load: UpstreamLoad
        get() = UpstreamLoad(upstream.name, ledger.total, ledger.freePieces, ledger.count, waiting.size)

    override val idle: Boolean get() = waiting.size == 0 && ledger.count == 0
    override val reservations: Int get() = reserved.size
    override val runningCalls: Int get() = calls.count

    fun reserve(connection: ConnectionId, message: PeerMessage.Reserve) {
        attempts.open(message.attempt, this, connection)
        if (message.pieces <= 0 || message.pieces > ledger.total) {
            refuse(message.attempt, FaultCause.OUT_OF_MEMORY, "${message.pieces} of ${ledger.total} pieces")
            return
        }
        if (!message.holdAtMost.isPositive()) {
            refuse(message.attempt, FaultCause.PROTOCOL, "held for ${message.holdAtMost}")
            return
        }
        waiting.add(message.attempt, message.worth, context.now + message.waitAtMost, message)
        if (waiting.size <= context.settings.queueLimit) return
        waiting.last()?.let { waiting.remove(it.attempt) }?.let { refuse(it.attempt, FaultCause.REJECTED, QUEUE_FULL) }
    }

    fun startDecode(connection: ConnectionId, message: PeerMessage.StartDecode) {
        val attempt = message.attempt
        if (calls.find(attempt) != null) return
        if (waiting.remove(attempt) != null) return refuse(attempt, FaultCause.PROTOCOL, "not granted yet")
        if (attempts.owner(attempt) != connection) return
        reserved.remove(attempt) ?: return
        firstIndexes[attempt] = message.fromIndex
        calls.start(
            attempt,
            upstream,
            UpstreamCall.Decode(
                message.content,
                message.outputBound,
                message.priority,
                message.ticket,
                message.fromIndex,
            ),
        )
        output.record(EventKind.DECODE_STARTED, attempt, upstream.name)
    }

    override fun cancel(attempt: AttemptId, ending: AttemptEnding) {
        if (calls.find(attempt) != null) return calls.cancel(attempt)
        if (reserved.remove(attempt) != null) {
            ledger.free(attempt)
            output.record(EventKind.ATTEMPT_CANCELLED, attempt, upstream.name)
        }
        waiting.remove(attempt)
        attempts.close(attempt, ending)
    }

    override fun reported(attempt: AttemptId, report: UpstreamReport) {
        val call = calls.find(attempt) ?: return
        when (report) {
            is UpstreamReport.Token -> giveToken(call, report)
            is UpstreamReport.Finished -> finish(call, report)
            is UpstreamReport.Failed -> fail(call, report.fault, report.execution)
            is UpstreamReport.PrefillReady, is UpstreamReport.Answered ->
                fail(call, fault(Step.DECODE, FaultCause.PROTOCOL, "report of another kind of call"), Execution.UNKNOWN)
        }
    }

    override fun cancelEnded(attempt: AttemptId, confirmed: Boolean) {
        calls.cancelEnded(attempt, confirmed) ?: return
        release(attempt)
        output.record(EventKind.ATTEMPT_CANCELLED, attempt, upstream.name)
        attempts.close(attempt, AttemptEnding.CANCELLED)
    }

    override fun refuseWaiting(fault: Fault) {
        for (entry in waiting.removeAll()) context.refuse(entry.attempt, fault, drain.retryAfter(0), load)
    }

    override fun advance(mayStart: Boolean) {
        lapseReservations()
        calls.repeatCancels()
        waiting.removeDueBefore(context.now).forEach(::refuseLate)
        if (mayStart) grantWhatFits()
        waiting.removeDueAt(context.now).forEach(::refuseLate)
    }

    override fun nextDeadline(): Moment? = context.earliest(
        listOf(waiting.nextDeadline(), calls.nextDeadline(), reserved.values.minOfOrNull { it.lapsesAt }),
    )

    private fun grantWhatFits() {
        while (true) {
            val next = waiting.first() ?: return
            if (!ledger.fits(next.content.pieces)) return
            waiting.remove(next.attempt)
            grant(next.attempt, next.content.pieces, next.content.holdAtMost)
        }
    }

    private fun grant(attempt: AttemptId, pieces: Int, holdFor: Duration) {
        ledger.hold(attempt, pieces)
        reserved[attempt] = Reservation(context.now + holdFor)
        output.record(EventKind.RESERVATION_GRANTED, attempt, upstream.name, detail = "$pieces pieces")
        output.send(attempts.owner(attempt), PeerMessage.Granted(attempt, holdFor, load))
    }

    private fun lapseReservations() {
        val lapsed = reserved.filterValues { it.lapsesAt <= context.now }.keys
        for (attempt in lapsed) {
            reserved.remove(attempt)
            ledger.free(attempt)
            output.record(EventKind.RESERVATION_LAPSED, attempt, upstream.name)
            attempts.close(attempt, AttemptEnding.LAPSED)
        }
    }

    private fun giveToken(call: RunningCall, token: UpstreamReport.Token) {
        if (call.cancelling || token.index < firstIndexes.getOrDefault(call.attempt, 0)) return
        output.send(
            attempts.owner(call.attempt),
            PeerMessage.TokenProduced(call.attempt, token.index, token.text),
        )
    }

    private fun finish(call: RunningCall, report: UpstreamReport.Finished) {
        val attempt = call.attempt
        val owner = attempts.owner(attempt)
        free(call)
        if (call.cancelling) return
        output.record(EventKind.DECODE_FINISHED, attempt, upstream.name)
        output.send(owner, PeerMessage.DecodeFinished(attempt, report.tokens, report.finishReason, load))
    }

    private fun fail(call: RunningCall, fault: Fault, execution: Execution) {
        val attempt = call.attempt
        val owner = attempts.owner(attempt)
        val wasCancelling = call.cancelling
        if (mayStillRun(fault)) calls.cancel(attempt) else free(call)
        if (wasCancelling) return
        output.record(EventKind.ATTEMPT_FAILED, attempt, upstream.name, detail = fault.toString())
        output.send(owner, PeerMessage.AttemptFailed(attempt, fault, execution, load))
    }

    private fun free(call: RunningCall) {
        calls.end(call.attempt)
        release(call.attempt)
        attempts.close(call.attempt, if (call.cancelling) AttemptEnding.CANCELLED else AttemptEnding.ANSWERED)
    }

    private fun release(attempt: AttemptId) {
        ledger.free(attempt)
        firstIndexes.remove(attempt)
        drain.ended(context.now)
    }

    private fun refuseLate(entry: WaitingAttempt<PeerMessage.Reserve>) =
        refuse(entry.attempt, FaultCause.TIMEOUT, "no memory free in time")

    private fun refuse(attempt: AttemptId, cause: FaultCause, detail: String) {
        output.record(EventKind.RESERVATION_REFUSED, attempt, upstream.name, detail = detail)
        context.refuse(attempt, fault(Step.RESERVE, cause, detail), drain.retryAfter(waiting.size), load)
    }

    private fun fault(step: Step, cause: FaultCause, detail: String) = Fault(step, upstream.name.text, cause, detail)
}

internal const val QUEUE_FULL = "queue full"
