package org.lovageladder.core

import kotlin.time.Duration

/**
 * Reservations and running decodes of one engine. The memory of an attempt counts as used from the grant of its
 * reservation until the engine certainly holds nothing for it.
 */
internal class DecodeScheduler(private val context: CompanionContext, upstream: ReleaseEntry.Upstream) :
    UpstreamScheduler {
    private class Reservation(val lapsesAt: Moment)

    private val output = context.output
    private val attempts = context.attempts
    private val ledger = MemoryLedger(upstream.pieces, upstream.runningLimit)
    private val queue = WorthQueue<PeerMessage.Reserve>()
    private val openReservations = LinkedHashMap<AttemptId, Reservation>()
    private val calls = RunningCalls(context)
    private val firstTokenIndexes = HashMap<AttemptId, Int>()
    private val retryDelay = RetryDelayEstimate()

    override var upstream: ReleaseEntry.Upstream = upstream
        set(value) {
            field = value
            ledger.totalPieces = value.pieces
            ledger.maximumAttempts = value.runningLimit
        }

    override val load: UpstreamLoad
        get() = UpstreamLoad(upstream.name, ledger.totalPieces, ledger.freePieces, ledger.attemptCount, queue.size)

    override val isIdle: Boolean get() = queue.size == 0 && ledger.attemptCount == 0
    override val reservationCount: Int get() = openReservations.size
    override val runningCallCount: Int get() = calls.count

    fun reserve(connection: ConnectionId, message: PeerMessage.Reserve) {
        attempts.open(message.attempt, this, connection)
        if (message.pieces <= 0 || message.pieces > ledger.totalPieces) {
            refuse(
                message.attempt,
                FaultCause.OUT_OF_MEMORY,
                "asked for ${message.pieces} of ${ledger.totalPieces} pieces",
            )
            return
        }
        if (!message.holdAtMost.isPositive()) {
            refuse(message.attempt, FaultCause.PROTOCOL, "holdAtMost is ${message.holdAtMost}, must be positive")
            return
        }
        queue.add(message.attempt, message.worth, context.now + message.waitAtMost, message)
        if (queue.size <= context.settings.queueLimit) return
        queue.last()?.let { queue.remove(it.attempt) }?.let { refuse(it.attempt, FaultCause.REJECTED, QUEUE_FULL) }
    }

    fun startDecode(connection: ConnectionId, message: PeerMessage.StartDecode) {
        val attempt = message.attempt
        if (calls.find(attempt) != null) return
        if (queue.remove(attempt) != null) return refuse(attempt, FaultCause.PROTOCOL, "reservation not granted yet")
        if (attempts.owner(attempt) != connection) return
        openReservations.remove(attempt) ?: return
        firstTokenIndexes[attempt] = message.fromIndex
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
        if (openReservations.remove(attempt) != null) {
            ledger.free(attempt)
            output.record(EventKind.ATTEMPT_CANCELLED, attempt, upstream.name)
        }
        queue.remove(attempt)
        attempts.close(attempt, ending)
    }

    override fun onReport(attempt: AttemptId, report: UpstreamReport) {
        val call = calls.find(attempt) ?: return
        when (report) {
            is UpstreamReport.Token -> sendToken(call, report)
            is UpstreamReport.Finished -> finish(call, report)
            is UpstreamReport.Failed -> fail(call, report.fault, report.execution)
            is UpstreamReport.PrefillReady, is UpstreamReport.Answered ->
                fail(call, fault(Step.DECODE, FaultCause.PROTOCOL, "report of another kind of call"), Execution.UNKNOWN)
        }
    }

    override fun onCancelEnded(attempt: AttemptId, confirmed: Boolean) {
        calls.onCancelEnded(attempt, confirmed) ?: return
        freeMemory(attempt)
        output.record(EventKind.ATTEMPT_CANCELLED, attempt, upstream.name)
        attempts.close(attempt, AttemptEnding.CANCELLED)
    }

    override fun refuseWaiting(fault: Fault) {
        for (entry in queue.removeAll()) context.refuse(entry.attempt, fault, retryDelay.retryAfter(0), load)
    }

    override fun advance(mayStart: Boolean) {
        lapseReservations()
        calls.repeatCancels()
        queue.removeDueBefore(context.now).forEach(::refuseOverdue)
        if (mayStart) grantWaiting()
        queue.removeDueAt(context.now).forEach(::refuseOverdue)
    }

    override fun nextDeadline(): Moment? = context.earliest(
        listOf(queue.nextDeadline(), calls.nextDeadline(), openReservations.values.minOfOrNull { it.lapsesAt }),
    )

    private fun grantWaiting() {
        while (true) {
            val next = queue.first() ?: return
            if (!ledger.fits(next.message.pieces)) return
            queue.remove(next.attempt)
            grant(next.attempt, next.message.pieces, next.message.holdAtMost)
        }
    }

    private fun grant(attempt: AttemptId, pieces: Int, holdFor: Duration) {
        ledger.allocate(attempt, pieces)
        openReservations[attempt] = Reservation(context.now + holdFor)
        output.record(EventKind.RESERVATION_GRANTED, attempt, upstream.name, detail = "$pieces pieces")
        output.send(attempts.owner(attempt), PeerMessage.Granted(attempt, holdFor, load))
    }

    private fun lapseReservations() {
        val lapsedAttempts = openReservations.filterValues { it.lapsesAt <= context.now }.keys
        for (attempt in lapsedAttempts) {
            openReservations.remove(attempt)
            ledger.free(attempt)
            output.record(EventKind.RESERVATION_LAPSED, attempt, upstream.name)
            attempts.close(attempt, AttemptEnding.LAPSED)
        }
    }

    private fun sendToken(call: RunningCall, token: UpstreamReport.Token) {
        if (call.isCancelling || token.index < firstTokenIndexes.getOrDefault(call.attempt, 0)) return
        output.send(
            attempts.owner(call.attempt),
            PeerMessage.TokenProduced(call.attempt, token.index, token.text),
        )
    }

    private fun finish(call: RunningCall, report: UpstreamReport.Finished) {
        val attempt = call.attempt
        val owner = attempts.owner(attempt)
        endCall(call)
        if (call.isCancelling) return
        output.record(EventKind.DECODE_FINISHED, attempt, upstream.name)
        output.send(owner, PeerMessage.DecodeFinished(attempt, report.tokens, report.finishReason, load))
    }

    private fun fail(call: RunningCall, fault: Fault, execution: Execution) {
        val attempt = call.attempt
        val owner = attempts.owner(attempt)
        val wasCancelling = call.isCancelling
        if (mayStillRun(fault)) calls.cancel(attempt) else endCall(call)
        if (wasCancelling) return
        output.record(EventKind.ATTEMPT_FAILED, attempt, upstream.name, detail = fault.toString())
        output.send(owner, PeerMessage.AttemptFailed(attempt, fault, execution, load))
    }

    private fun endCall(call: RunningCall) {
        calls.end(call.attempt)
        freeMemory(call.attempt)
        attempts.close(call.attempt, if (call.isCancelling) AttemptEnding.CANCELLED else AttemptEnding.ANSWERED)
    }

    private fun freeMemory(attempt: AttemptId) {
        ledger.free(attempt)
        firstTokenIndexes.remove(attempt)
        retryDelay.recordEnd(context.now)
    }

    private fun refuseOverdue(entry: WaitingAttempt<PeerMessage.Reserve>) =
        refuse(entry.attempt, FaultCause.TIMEOUT, "no memory was freed in time")

    private fun refuse(attempt: AttemptId, cause: FaultCause, detail: String) {
        output.record(EventKind.RESERVATION_REFUSED, attempt, upstream.name, detail = detail)
        context.refuse(attempt, fault(Step.RESERVE, cause, detail), retryDelay.retryAfter(queue.size), load)
    }

    private fun fault(step: Step, cause: FaultCause, detail: String) = Fault(step, upstream.name.text, cause, detail)
}

internal const val QUEUE_FULL = "queue full"
