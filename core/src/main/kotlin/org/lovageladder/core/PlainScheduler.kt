package org.lovageladder.core

/**
 * Queue and running calls of one worker of a plain service. A claimed call must be admitted by the [ClaimRegistry] and,
 * once started, runs to its end even when it is cancelled, since it cannot be undone.
 */
internal class PlainScheduler(
    private val context: CompanionContext,
    private val claimedCalls: ClaimedCalls,
    override var upstream: ReleaseEntry.Upstream,
) : UpstreamScheduler {
    private val claimRegistry = claimedCalls.registry
    private val output = context.output
    private val attempts = context.attempts
    private val queue = WorthQueue<PeerMessage.StartPlain>()
    private val calls = RunningCalls(context)
    private val claimsByAttempt = HashMap<AttemptId, ClaimTicket>()
    private val retryDelay = RetryDelayEstimate()

    override val load: UpstreamLoad get() = UpstreamLoad(upstream.name, 0, 0, calls.count, queue.size)
    override val isIdle: Boolean get() = queue.size == 0 && calls.count == 0
    override val reservationCount: Int get() = 0
    override val runningCallCount: Int get() = calls.count

    fun start(connection: ConnectionId, message: PeerMessage.StartPlain) {
        attempts.open(message.attempt, this, connection)
        if (message.claim != null && !admitClaim(message.attempt, message.claim)) return
        queue.add(message.attempt, message.worth, context.now + message.startWithin, message)
        if (queue.size > context.settings.queueLimit) {
            queue.last()?.let { refuse(it.attempt, fault(FaultCause.REJECTED, QUEUE_FULL)) }
        }
    }

    /** Removes a claimed call from the queue and refuses it, since its claim number was voided. */
    fun refuseVoided(attempt: AttemptId) {
        if (queue.find(attempt) == null) return
        refuse(attempt, fault(FaultCause.FENCED, "claim voided"))
    }

    override fun cancel(attempt: AttemptId, ending: AttemptEnding) {
        if (calls.find(attempt) != null) return cancelRunning(attempt)
        queue.remove(attempt)?.message?.claim?.let(claimRegistry::voidNotRun)
        attempts.close(attempt, ending)
    }

    override fun onReport(attempt: AttemptId, report: UpstreamReport) {
        val call = calls.find(attempt) ?: return
        when (report) {
            is UpstreamReport.Answered -> finish(call, report.answer)
            is UpstreamReport.Failed -> fail(call, report.fault, report.execution)
            is UpstreamReport.Token, is UpstreamReport.Finished, is UpstreamReport.PrefillReady ->
                fail(call, fault(FaultCause.PROTOCOL, "report of another kind of call"), Execution.UNKNOWN)
        }
    }

    override fun onCancelEnded(attempt: AttemptId, confirmed: Boolean) {
        calls.onCancelEnded(attempt, confirmed) ?: return
        retryDelay.recordEnd(context.now)
        output.record(EventKind.ATTEMPT_CANCELLED, attempt, upstream.name)
        attempts.close(attempt, AttemptEnding.CANCELLED)
    }

    override fun refuseWaiting(fault: Fault) {
        for (entry in queue) refuse(entry.attempt, fault)
    }

    override fun advance(mayStart: Boolean) {
        calls.repeatCancels()
        queue.removeDueBefore(context.now).forEach(::refuseOverdue)
        if (mayStart) startWaiting()
        queue.removeDueAt(context.now).forEach(::refuseOverdue)
    }

    override fun nextDeadline(): Moment? = context.earliest(listOf(queue.nextDeadline(), calls.nextDeadline()))

    private fun admitClaim(attempt: AttemptId, claim: ClaimTicket): Boolean {
        val settings = context.settings
        val record = claim.record
        if (record.host != settings.host || record.incarnation != settings.incarnation) {
            refuseUnqueued(
                attempt,
                fault(FaultCause.FENCED, "claim is for host ${record.host}, incarnation ${record.incarnation}"),
            )
            return false
        }
        if (record.number != claim.number) {
            refuseUnqueued(
                attempt,
                fault(FaultCause.FENCED, "claim number ${claim.number}, but ${record.number} in its record"),
            )
            return false
        }
        claimRegistry.waitingAttempt(claim.storeKey, claim.number - 1)?.let(::refuseSuperseded)
        return when (claimRegistry.admit(claim, attempt)) {
            ClaimAdmission.ADMITTED -> true
            ClaimAdmission.OUTDATED -> refuseClaim(attempt, claim, "a higher claim number was seen")
            ClaimAdmission.VOIDED -> refuseClaim(attempt, claim, "claim voided")
            ClaimAdmission.ALREADY_STARTED -> refuseClaim(attempt, claim, "key already admitted")
        }
    }

    private fun refuseSuperseded(attempt: AttemptId) {
        val scheduler = attempts.find(attempt)?.scheduler
        if (scheduler is PlainScheduler) scheduler.refuseVoided(attempt)
    }

    /** Sends the state of the claim, which another attempt may have started, and refuses the attempt. */
    private fun refuseClaim(attempt: AttemptId, claim: ClaimTicket, detail: String): Boolean {
        claimRegistry.statusOf(claim.storeKey, claim.number)?.let { output.send(attempts.owner(attempt), it) }
        refuseUnqueued(attempt, fault(FaultCause.FENCED, detail))
        return false
    }

    private fun startWaiting() {
        while (calls.count < upstream.runningLimit) {
            val next = queue.first() ?: return
            queue.remove(next.attempt)
            startCall(next.message)
        }
    }

    private fun startCall(message: PeerMessage.StartPlain) {
        val attempt = message.attempt
        val claim = message.claim
        val call = UpstreamCall.Plain(message.content, message.idempotencyKey, fencing = null)
        calls.start(attempt, upstream, call)
        if (claim == null) return
        claimsByAttempt[attempt] = claim
        claimRegistry.recordStart(claim)
        output.record(EventKind.CLAIM_STARTED, attempt, upstream.name, detail = claim.storeKey)
    }

    private fun cancelRunning(attempt: AttemptId) {
        if (attempt in claimsByAttempt) attempts.removeOwner(attempt) else calls.cancel(attempt)
    }

    private fun finish(call: RunningCall, answer: PlainAnswer) {
        val claim = claimsByAttempt[call.attempt]
        if (claim != null) {
            claimedCalls.answerWriter.enqueue(claim, answer)
            claimRegistry.recordAnswer(claim, answer)
        }
        val owner = attempts.owner(call.attempt)
        endCall(call)
        if (!call.isCancelling) output.send(owner, PeerMessage.PlainFinished(call.attempt, answer, load))
    }

    private fun fail(call: RunningCall, fault: Fault, execution: Execution) {
        claimsByAttempt[call.attempt]?.let { onClaimFailed(call.attempt, it, execution) }
        val owner = attempts.owner(call.attempt)
        endCall(call)
        if (call.isCancelling) return
        output.record(EventKind.ATTEMPT_FAILED, call.attempt, upstream.name, detail = fault.toString())
        output.send(owner, PeerMessage.AttemptFailed(call.attempt, fault, execution, load))
    }

    private fun onClaimFailed(attempt: AttemptId, claim: ClaimTicket, execution: Execution) {
        if (execution == Execution.NOT_RUN) return claimRegistry.voidNotRun(claim)
        claimRegistry.recordLostAnswer(claim)
        output.record(EventKind.CLAIM_UNKNOWN, attempt, upstream.name, detail = claim.storeKey)
    }

    private fun endCall(call: RunningCall) {
        calls.end(call.attempt)
        claimsByAttempt.remove(call.attempt)
        retryDelay.recordEnd(context.now)
        attempts.close(call.attempt, if (call.isCancelling) AttemptEnding.CANCELLED else AttemptEnding.ANSWERED)
    }

    private fun refuseOverdue(entry: WaitingAttempt<PeerMessage.StartPlain>) {
        entry.message.claim?.let(claimRegistry::voidNotRun)
        refuseUnqueued(entry.attempt, fault(FaultCause.TIMEOUT, "no worker was free in time"))
    }

    /** Removes an attempt from the queue, voids its claim number and refuses it. */
    private fun refuse(attempt: AttemptId, fault: Fault) {
        queue.remove(attempt)?.message?.claim?.let(claimRegistry::voidNotRun)
        refuseUnqueued(attempt, fault)
    }

    /** Refuses an attempt that is not in the queue. */
    private fun refuseUnqueued(attempt: AttemptId, fault: Fault) =
        context.refuse(attempt, fault, retryDelay.retryAfter(queue.size), load)

    private fun fault(cause: FaultCause, detail: String) = Fault(Step.PLAIN_CALL, upstream.name.text, cause, detail)
}
