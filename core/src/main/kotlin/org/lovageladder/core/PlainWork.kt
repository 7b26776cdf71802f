package org.lovageladder.core

/**
 * Queue and running calls of one worker of a plain service. Claimed calls pass the start gate first and, once
 * started, are left to run to their end, since they cannot be undone.
 */
internal class PlainWork(
    private val context: CompanionContext,
    private val claimedCalls: ClaimedCalls,
    override var upstream: ReleaseEntry.Upstream,
) : UpstreamWork {
    private val gate = claimedCalls.gate
    private val output = context.output
    private val attempts = context.attempts
    private val waiting = WorthQueue<PeerMessage.StartPlain>()
    private val calls = RunningCalls(context)
    private val claims = HashMap<AttemptId, ClaimTicket>()
    private val drain = DrainEstimate()

    override val load: UpstreamLoad get() = UpstreamLoad(upstream.name, 0, 0, calls.count, waiting.size)
    override val idle: Boolean get() = waiting.size == 0 && calls.count == 0
    override val reservations: Int get() = 0
    override val runningCalls: Int get() = calls.count

    fun start(connection: ConnectionId, message: PeerMessage.StartPlain) {
        attempts.open(message.attempt, this, connection)
        if (message.claim != null && !admit(message.attempt, message.claim)) return
        waiting.add(message.attempt, message.worth, context.now + message.startWithin, message)
        if (waiting.size > context.settings.queueLimit) {
            waiting.last()?.let { refuse(it.attempt, fault(FaultCause.REJECTED, QUEUE_FULL)) }
        }
    }

    /** Takes a claimed start out of the queue and refuses it, since its number was voided. */
    fun refuseVoided(attempt: AttemptId) {
        if (waiting.find(attempt) == null) return
        refuse(attempt, fault(FaultCause.FENCED, "claim voided"))
    }

    override fun cancel(attempt: AttemptId, ending: AttemptEnding) {
        if (calls.find(attempt) != null) return cancelRunning(attempt)
        waiting.remove(attempt)?.content?.claim?.let(gate::withdraw)
        attempts.close(attempt, ending)
    }

    override fun reported(attempt: AttemptId, report: UpstreamReport) {
        val call = calls.find(attempt) ?: return
        when (report) {
            is UpstreamReport.Answered -> answer(call, report.answer)
            is UpstreamReport.Failed -> fail(call, report.fault, report.execution)
            is UpstreamReport.Token, is UpstreamReport.Finished, is UpstreamReport.PrefillReady ->
                fail(call, fault(FaultCause.PROTOCOL, "report of another kind of call"), Execution.UNKNOWN)
        }
    }

    override fun cancelEnded(attempt: AttemptId, confirmed: Boolean) {
        calls.cancelEnded(attempt, confirmed) ?: return
        drain.ended(context.now)
        output.record(EventKind.ATTEMPT_CANCELLED, attempt, upstream.name)
        attempts.close(attempt, AttemptEnding.CANCELLED)
    }

    override fun refuseWaiting(fault: Fault) {
        for (entry in waiting) refuse(entry.attempt, fault)
    }

    override fun advance(mayStart: Boolean) {
        calls.repeatCancels()
        waiting.removeDueBefore(context.now).forEach(::refuseLate)
        if (mayStart) startWhatFits()
        waiting.removeDueAt(context.now).forEach(::refuseLate)
    }

    override fun nextDeadline(): Moment? = context.earliest(listOf(waiting.nextDeadline(), calls.nextDeadline()))

    private fun admit(attempt: AttemptId, claim: ClaimTicket): Boolean {
        val settings = context.settings
        val record = claim.record
        if (record.host != settings.host || record.incarnation != settings.incarnation) {
            refuseClosed(attempt, fault(FaultCause.FENCED, "claim names ${record.host} ${record.incarnation}"))
            return false
        }
        if (record.number != claim.number) {
            refuseClosed(attempt, fault(FaultCause.FENCED, "claim ${claim.number}, record ${record.number}"))
            return false
        }
        gate.waitingAttempt(claim.storeKey, claim.number - 1)?.let(::refuseSuperseded)
        return when (gate.admit(claim, attempt)) {
            GateVerdict.ADMITTED -> true
            GateVerdict.OUTDATED -> refuseClaim(attempt, claim, "a higher number of the claim was seen")
            GateVerdict.VOIDED -> refuseClaim(attempt, claim, "claim voided")
            GateVerdict.ALREADY_STARTED -> refuseClaim(attempt, claim, "key already admitted")
        }
    }

    private fun refuseSuperseded(attempt: AttemptId) {
        val work = attempts.find(attempt)?.work
        if (work is PlainWork) work.refuseVoided(attempt)
    }

    /** Refuses the attempt after the state of its claim, which may be that another attempt started it. */
    private fun refuseClaim(attempt: AttemptId, claim: ClaimTicket, detail: String): Boolean {
        gate.statusOf(claim.storeKey, claim.number)?.let { output.send(attempts.owner(attempt), it) }
        refuseClosed(attempt, fault(FaultCause.FENCED, detail))
        return false
    }

    private fun startWhatFits() {
        while (calls.count < upstream.runningLimit) {
            val next = waiting.first() ?: return
            waiting.remove(next.attempt)
            startCall(next.content)
        }
    }

    private fun startCall(message: PeerMessage.StartPlain) {
        val attempt = message.attempt
        val claim = message.claim
        val call = UpstreamCall.Plain(message.content, message.idempotencyKey, fencing = null)
        calls.start(attempt, upstream, call)
        if (claim == null) return
        claims[attempt] = claim
        gate.started(claim)
        output.record(EventKind.CLAIM_STARTED, attempt, upstream.name, detail = claim.storeKey)
    }

    private fun cancelRunning(attempt: AttemptId) {
        if (attempt in claims) attempts.disown(attempt) else calls.cancel(attempt)
    }

    private fun answer(call: RunningCall, answer: PlainAnswer) {
        val claim = claims[call.attempt]
        if (claim != null) {
            claimedCalls.answers.record(claim, answer)
            gate.answered(claim, answer)
        }
        val owner = attempts.owner(call.attempt)
        free(call)
        if (!call.cancelling) output.send(owner, PeerMessage.PlainFinished(call.attempt, answer, load))
    }

    private fun fail(call: RunningCall, fault: Fault, execution: Execution) {
        claims[call.attempt]?.let { claimFailed(call.attempt, it, execution) }
        val owner = attempts.owner(call.attempt)
        free(call)
        if (call.cancelling) return
        output.record(EventKind.ATTEMPT_FAILED, call.attempt, upstream.name, detail = fault.toString())
        output.send(owner, PeerMessage.AttemptFailed(call.attempt, fault, execution, load))
    }

    private fun claimFailed(attempt: AttemptId, claim: ClaimTicket, execution: Execution) {
        if (execution == Execution.NOT_RUN) return gate.withdraw(claim)
        gate.lost(claim)
        output.record(EventKind.CLAIM_UNKNOWN, attempt, upstream.name, detail = claim.storeKey)
    }

    private fun free(call: RunningCall) {
        calls.end(call.attempt)
        claims.remove(call.attempt)
        drain.ended(context.now)
        attempts.close(call.attempt, if (call.cancelling) AttemptEnding.CANCELLED else AttemptEnding.ANSWERED)
    }

    private fun refuseLate(entry: WaitingAttempt<PeerMessage.StartPlain>) {
        entry.content.claim?.let(gate::withdraw)
        refuseClosed(entry.attempt, fault(FaultCause.TIMEOUT, "no worker free in time"))
    }

    /** Refuses a waiting attempt; the number of its claim never starts. */
    private fun refuse(attempt: AttemptId, fault: Fault) {
        waiting.remove(attempt)?.content?.claim?.let(gate::withdraw)
        refuseClosed(attempt, fault)
    }

    private fun refuseClosed(attempt: AttemptId, fault: Fault) =
        context.refuse(attempt, fault, drain.retryAfter(waiting.size), load)

    private fun fault(cause: FaultCause, detail: String) = Fault(Step.PLAIN_CALL, upstream.name.text, cause, detail)
}
