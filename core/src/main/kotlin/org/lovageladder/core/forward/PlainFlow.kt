package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One request to a plain service. The answer is received completely before any of it is passed to the caller, so that
 * one that is damaged or broke off can still be replaced. One that only the end of its connection ends is complete if
 * its upstream outlived that end. The request is retried after an
 * upstream declined it. A retryable request is also retried after any other failure, and hedged when its upstream is
 * slow. Confined to one thread.
 */
internal class PlainFlow(
    private val context: ForwardContext,
    private val request: ForwardRequest,
    private val destination: Destination,
    private val reply: CallerReply,
    private val onFinished: () -> Unit,
) : ForwardFlow {
    private val route = destination.route
    private val deadlines = RequestDeadlines(request, route)
    private val admission = context.quarantineAdmission(request)
    private val attempts = ArrayList<Attempt>()
    private var timeoutTimer: Cancellable? = null
    private var hedgeTimer: Cancellable? = null
    private var lastErrorAnswer: CompleteAnswer? = null
    private var mayHaveRun = false
    private var isFinished = false

    override fun start() {
        timeoutTimer = context.scheduler.schedule(deadlines.remaining(context.now())) { onTimeout() }
        admission.decide { heldBack ->
            when {
                isFinished -> Unit
                heldBack != null -> refuseHeldBack(heldBack)
                else -> startFirstAttempt()
            }
        }
    }

    private fun startFirstAttempt() {
        startAttempt()
        val mayHedge = !isFinished && route.isRetryable && !admission.isTrial
        if (mayHedge && context.isEnabled(Mechanism.HEDGING)) {
            hedgeTimer = context.scheduler.schedule(route.latencyTarget * HEDGE_DELAY_FRACTION) { startHedge() }
        }
    }

    private fun refuseHeldBack(heldBack: HeldBack) =
        refuse(heldBack.reason, minimumDelay = heldBack.retryAt - context.now())

    override fun onCallerDisconnected() {
        if (isFinished) return
        finish("caller disconnected")
    }

    private fun startAttempt() {
        val refusal = context.recheckKey(request, route) ?: admission.currentVerdict()?.reason
        if (refusal != null) {
            fail(refusal)
            return
        }
        val upstream = chooseUpstream()
        if (upstream == null) {
            val isOverloaded = candidates().isNotEmpty() || earliestAdmission() != null
            fail(if (isOverloaded) RefusalReason.OVERLOADED else RefusalReason.NO_UPSTREAM)
            return
        }
        if (attempts.isEmpty() && !hasRoom(upstream)) {
            fail(RefusalReason.OVERLOADED)
            return
        }
        send(upstream)
    }

    /** The best upstream that has room for the body of the request. */
    private fun chooseUpstream(): UpstreamRegistration? {
        val selector = context.upstreamSelector
        val now = context.now()
        val candidates = candidates().filter { selector.hasRoom(it.name, request, now) }
        // Learned capacities put an upstream first by chance; it must not turn away what another one has room for.
        val hasRoom = if (selector.capacity == null) null else candidates.firstOrNull { hasRoom(it) }
        return hasRoom ?: candidates.firstOrNull()
    }

    private fun candidates(): List<UpstreamRegistration> {
        val triedUpstreams = attempts.mapTo(HashSet()) { it.upstream }
        return context.upstreamSelector
            .candidates(destination.service, PoolRole.PLAIN, context.now(), triedUpstreams)
    }

    private fun hasRoom(upstream: UpstreamRegistration): Boolean {
        val selector = context.upstreamSelector
        val slotLimit = selector.callLimit(upstream, upstream.slots * CALLS_PER_SLOT, context.now())
        return selector.health(upstream.name).inFlight < minOf(slotLimit, destination.connectionLimit)
    }

    private fun earliestAdmission(): Moment? =
        context.upstreamSelector.earliestAdmission(destination.service, PoolRole.PLAIN, context.now())

    private fun send(upstream: UpstreamRegistration) {
        val attempt = Attempt(upstream.incarnation)
        attempts += attempt
        context.upstreamSelector.health(upstream.name).inFlight += 1
        context.record(
            EventKind.REQUEST_SENT,
            request.id,
            upstream.name,
            detail = "attempt ${attempts.size} of ${route.name} after=${request.resumeAfterEventId}",
        )
        val upstreamAttempt = UpstreamAttempt(
            upstream = upstream.incarnation,
            timeout = deadlines.remaining(context.now()),
            resumeAfterEventId = request.resumeAfterEventId,
        )
        attempt.call = context.upstreamPort.send(request, upstreamAttempt, attempt)
    }

    private fun startHedge() {
        val runCount = attempts.count { it.isRunning }
        if (isFinished || runCount != 1 || attempts.size >= route.maximumRuns) return
        if (!context.maySend(route, deadlines.deadline)) return
        if (context.retryBudget.tryAcquire(destination.service, context.now())) startAttempt()
    }

    private fun onAnswered(attempt: Attempt, answer: CompleteAnswer) {
        val head = answer.head
        val health = context.upstreamSelector.health(attempt.upstream)
        head.load?.let { health.recordLoad(it, context.now()) }
        when (route.meaningOf(head)) {
            AnswerMeaning.Declined -> onDeclined(attempt, head)
            AnswerMeaning.Unproven -> onFailed(attempt, UNPROVEN_SUCCESS)
            is AnswerMeaning.Failed -> {
                health.recordError(context.now())
                mayHaveRun = true
                lastErrorAnswer = answer
                if (!route.isRetryable || !retry()) fail(RefusalReason.ANSWER_LOST)
            }
            AnswerMeaning.Result -> {
                health.recordSuccess()
                recordTime(attempt)
                deliver(answer)
            }
        }
    }

    private fun recordTime(attempt: Attempt) {
        val now = context.now()
        val upstream = context.upstreamSelector.observe(attempt.upstream, now) ?: return
        context.upstreamSelector.capacity?.recordPlain(upstream, route.name, now - attempt.sentAt, now)
    }

    private fun recordCancelled(attempt: Attempt) {
        val now = context.now()
        val upstream = context.upstreamSelector.observe(attempt.upstream, now) ?: return
        context.upstreamSelector.capacity?.recordCancelled(upstream, route.name, now - attempt.sentAt, now)
    }

    private fun onDeclined(attempt: Attempt, head: AnswerHead) {
        if (head.isWrongInstance) context.removeReplaced(attempt.upstream, request.id)
        context.upstreamSelector.health(attempt.upstream).recordDecline(context.now())
        context.record(EventKind.REQUEST_DECLINED, request.id, attempt.upstream, detail = "status ${head.status}")
        if (!retry()) fail(RefusalReason.OVERLOADED)
    }

    private fun onFailed(attempt: Attempt, failure: CallFailure) {
        context.recordFailure(
            attempt.upstream,
            request.id,
            "plain call of ${request.target.take(LOGGED_TARGET_LENGTH)}",
            failure,
            attempt.head,
        )
        if (failure.sent) mayHaveRun = true
        val mayCrashAnother = failure.mayBeCrash && context.promptGuard.isSuspected(request)
        if (failure.sent && (!route.isRetryable || mayCrashAnother)) {
            fail(RefusalReason.ANSWER_LOST)
        } else if (!retry(isExemptFromBudget = !failure.sent)) {
            fail(if (failure.sent) RefusalReason.ANSWER_LOST else RefusalReason.NO_UPSTREAM)
        }
    }

    /**
     * Retries if time, attempts and retry budget allow. Also returns true when another attempt is still running.
     * [isExemptFromBudget] is set when nothing reached the upstream.
     */
    private fun retry(isExemptFromBudget: Boolean = false): Boolean {
        if (attempts.any { it.isRunning }) return true
        val isSentTrial = admission.isTrial && !isExemptFromBudget
        if (isSentTrial || !mayStartAnother()) return false
        if (!context.maySend(route, deadlines.deadline)) return false
        if (!isExemptFromBudget && !context.retryBudget.tryAcquire(destination.service, context.now())) return false
        startAttempt()
        return true
    }

    private fun mayStartAnother(): Boolean {
        val hasEnoughTime = deadlines.remaining(context.now()) > MINIMUM_ATTEMPT_TIME
        val runCount = attempts.count { it.mayHaveRun }
        return hasEnoughTime && attempts.size < MAXIMUM_ATTEMPTS && runCount < route.maximumRuns
    }

    private fun fail(reason: RefusalReason) {
        if (isFinished) return
        if (attempts.any { it.isRunning }) return
        val errorAnswer = lastErrorAnswer
        if (errorAnswer != null && mayReachCaller(errorAnswer)) {
            deliver(errorAnswer)
            return
        }
        val reportedReason = if (mayHaveRun && reason.isNotRun) RefusalReason.ANSWER_LOST else reason
        refuse(reportedReason, withheld = errorAnswer)
    }

    private fun mayReachCaller(errorAnswer: CompleteAnswer): Boolean =
        (route.meaningOf(errorAnswer.head) as? AnswerMeaning.Failed)?.mayReachCaller == true

    private fun onTimeout() = end(RefusalReason.EXPIRED)

    override fun onFinalDeadline() = end(RefusalReason.LEAVING)

    /** Ends the request unanswered, with [reasonIfNotSent] if it reached no upstream. */
    private fun end(reasonIfNotSent: RefusalReason) {
        if (isFinished) return
        val hasReachedUpstream = mayHaveRun || attempts.any { it.isRunning }
        refuse(if (hasReachedUpstream) RefusalReason.TIMEOUT else reasonIfNotSent)
    }

    /** Refuses the request. An answer that is [withheld] from the caller stands in the event at the end. */
    private fun refuse(reason: RefusalReason, minimumDelay: Duration? = null, withheld: CompleteAnswer? = null) {
        val remaining = deadlines.remaining(context.now())
        val delay = { minimumDelay ?: minimumReturnDelay() }
        val retryAfter = if (reason.isNotRun) context.returnDelay(delay(), remaining) else null
        finish("refused: $reason", withheld)
        reply.refuse(Refusal(reason, retryAfter))
    }

    /**
     * When no upstream accepts a request now, callers return when the first one does, or one by one at the rate that
     * the upstreams' limits allow.
     */
    private fun minimumReturnDelay(): Duration {
        if (chooseUpstream() != null) return MINIMUM_RETURN_DELAY
        val now = context.now()
        val upstreams = context.membership.serving(destination.service, now)
        val untilTurn = context.requestLimits.bookReturn(destination.service, upstreams, now)
        val untilAdmission = earliestAdmission()?.let { it - now } ?: Duration.ZERO
        return maxOf(MINIMUM_RETURN_DELAY, untilTurn ?: untilAdmission)
    }

    private fun deliver(answer: CompleteAnswer) {
        finish("answered ${answer.head.status} unframed=${answer.head.endsWithConnection}", answer)
        reply.sendHead(answer.head, answer.body.size)
        if (answer.body.isNotEmpty()) reply.sendContent(answer.body)
        reply.finish()
    }

    /** Ends the request; [answer] is the one that its caller gets, or that is withheld from it. */
    private fun finish(outcome: String, answer: CompleteAnswer? = null) {
        isFinished = true
        timeoutTimer?.cancel()
        hedgeTimer?.cancel()
        attempts.filter { it.isRunning }.forEach {
            recordCancelled(it)
            it.cancel()
        }
        val took = (context.now() - deadlines.arrivedAt).inWholeMilliseconds
        val lastAttempt = attempts.lastOrNull()
        val upstream = answer?.upstream ?: lastAttempt?.upstream
        val sinceSent = lastAttempt?.let { (context.now() - it.sentAt).inWholeMilliseconds }
        val origin = answer?.let { " ${it.head.summary}" }.orEmpty()
        context.record(
            EventKind.REQUEST_ENDED,
            request.id,
            upstream,
            detail = "$outcome route=${route.name} tries=${attempts.size} took=${took}ms sent=${sinceSent}ms$origin",
        )
        onFinished()
    }

    private inner class Attempt(private val incarnation: UpstreamIncarnation) : AnswerReceiver {
        val upstream: UpstreamName = incarnation.name
        private val body = context.answerBuffers.newBuffer()
        val sentAt: Moment = context.now()
        var head: AnswerHead? = null
            private set
        private var eventCounter: StreamEventCounter? = null
        var call: Cancellable? = null
        var isRunning = true
            private set
        var mayHaveRun = true
            private set

        override fun onHead(head: AnswerHead) {
            this.head = head
            if (head.isEventStream) eventCounter = StreamEventCounter(mayBeEmpty = request.resumeAfterEventId != null)
        }

        override fun onContent(bytes: ByteArray) {
            eventCounter?.add(bytes)
            if (body.append(bytes)) return
            call?.cancel()
            onFailure(CallFailure(FaultCause.PROTOCOL, sent = true, "the answer exceeds the memory for answers"))
        }

        override fun onEnd() {
            val answered = checkNotNull(head)
            when {
                eventCounter?.isCutOff(answered) == true -> onFailure(STREAM_CUT_OFF)
                answered.endsWithConnection && !answered.isDeclined -> confirmEnd(answered)
                else -> onComplete(answered)
            }
        }

        private fun confirmEnd(answered: AnswerHead) {
            val path = destination.healthPath
            call = context.survivalCheck.start(incarnation, path, request.id, !route.isRetryable) { hasSurvived ->
                if (hasSurvived) onComplete(answered) else onFailure(END_UNCONFIRMED)
            }
        }

        private fun onComplete(answered: AnswerHead) {
            val answer = CompleteAnswer(upstream, answered, body.takeBytes())
            markEnded()
            if (!answered.isDeclined) context.promptGuard.onOutlived(request, sentAt)
            if (answer.head.isDeclined) mayHaveRun = false
            if (!isFinished) onAnswered(this, answer)
        }

        override fun onFailure(failure: CallFailure) {
            markEnded()
            if (!failure.sent) mayHaveRun = false
            if (!isFinished) onFailed(this, failure)
            if (failure == END_UNCONFIRMED) {
                onCrashed(context.now())
            } else if (failure.mayBeCrash) {
                onConnectionLost()
            }
        }

        /** The upstream may have crashed, or only have cut the answer off; the request does not wait to learn which. */
        private fun onConnectionLost() {
            val lostAt = context.now()
            context.survivalCheck.start(incarnation, destination.healthPath, request.id) { hasSurvived ->
                if (!hasSurvived) onCrashed(lostAt)
            }
        }

        private fun onCrashed(lostAt: Moment) = context.promptGuard.onCrash(request, incarnation.start, sentAt, lostAt)

        fun cancel() {
            markEnded()
            call?.cancel()
        }

        private fun markEnded() {
            if (!isRunning) return
            isRunning = false
            body.clear()
            context.upstreamSelector.health(upstream).inFlight -= 1
        }
    }

    private class CompleteAnswer(val upstream: UpstreamName, val head: AnswerHead, val body: ByteArray)

    private companion object {
        const val LOGGED_TARGET_LENGTH = 120

        /** Maximum attempts for one request, including those that an upstream declined. */
        const val MAXIMUM_ATTEMPTS = 3

        /** Maximum concurrent calls of this process to one upstream, for each of its slots. */
        const val CALLS_PER_SLOT = 3

        /** Fraction of the target time after which a second upstream is tried. */
        const val HEDGE_DELAY_FRACTION = 0.6
        val MINIMUM_ATTEMPT_TIME: Duration = 10.milliseconds
        val MINIMUM_RETURN_DELAY: Duration = 60.milliseconds
    }
}
