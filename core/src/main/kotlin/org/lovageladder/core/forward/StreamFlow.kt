package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.customer.RequestPriority
import org.lovageladder.core.forward.memory.DecodeMemory
import org.lovageladder.core.forward.memory.MemoryGrant
import org.lovageladder.core.forward.memory.MemoryRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One generation. Decode memory is reserved first, then a prefill engine prefills the prompt, then the decode engine
 * fetches the result and streams the output. If no prefill engine is available, the decode engine prefills the prompt
 * itself. Events are passed on as they arrive. A resumable stream that breaks is resumed on another upstream after its
 * last complete event; any other is aborted towards the caller. One that only the end of its connection ends is
 * complete if its engine outlived that end. Confined to one thread.
 */
internal class StreamFlow(
    private val context: ForwardContext,
    private val request: ForwardRequest,
    private val destination: Destination,
    private val decodeMemory: DecodeMemory,
    private val estimates: StreamEstimates,
    private val reply: CallerReply,
    private val onFinished: () -> Unit,
) : ForwardFlow {
    private val route = destination.route
    private val deadlines = RequestDeadlines(request, route)
    private val returnDelay = StreamReturnDelay(context, route, deadlines, estimates)
    private val callerPoint = request.resumeAfterEventId?.let(ResumePoint::After) ?: ResumePoint.Start
    private val eventSplitter = if (route.isResumable) StreamEventSplitter(callerPoint) else null
    private val avoidedEngines = HashSet<UpstreamName>()
    private val admission = context.quarantineAdmission(request)
    private var timeoutTimer: Cancellable? = null
    private var memoryRequest: MemoryRequest? = null
    private var grant: MemoryGrant? = null
    private var prefillResult: PrefillResult? = null
    private var decodeCall: Cancellable? = null
    private val prefillStep =
        PrefillStep(context, request, destination, estimates, avoidedEngines, ::onPrefilled) {
            refuseOrAbort(RefusalReason.OVERLOADED)
        }
    private val summary = StreamSummary(request, deadlines, destination.route)
    private var silenceTimer: Cancellable? = null
    private var endCheck: Cancellable? = null
    private var runCount = 0
    private var attemptCount = 0
    private var hadMemory = false
    private var headSent = false
    private var isFinished = false

    private val resumePoint: ResumePoint get() = eventSplitter?.resumePoint ?: callerPoint

    override fun start() {
        timeoutTimer = context.scheduler.schedule(deadlines.remaining(context.now())) { onTimeout() }
        admission.decide { heldBack ->
            when {
                isFinished -> Unit
                heldBack != null -> refuseHeldBack(heldBack)
                admission.isTrial -> requestMemory()
                else -> startUnlessTooLate()
            }
        }
    }

    private fun refuseIfKeyRevoked(): Boolean {
        refuseOrAbort(context.recheckKey(request, route) ?: return false)
        return true
    }

    /** Refuses the request if its key was revoked or requests like it crash upstreams. Returns whether it did. */
    private fun refuseIfInadmissible(): Boolean {
        if (refuseIfKeyRevoked()) return true
        val heldBack = admission.currentVerdict() ?: return false
        refuseHeldBack(heldBack)
        return true
    }

    private fun refuseHeldBack(heldBack: HeldBack) =
        refuseOrAbort(heldBack.reason, minimumDelay = heldBack.retryAt - context.now())

    private fun startUnlessTooLate() {
        val isUnderPressure = decodeMemory.isUnderMemoryPressure()
        if (isTooLate(isUnderPressure) && isUnderPressure) {
            refuseOrAbort(RefusalReason.OVERLOADED)
        } else {
            requestMemory()
        }
    }

    /**
     * Whether the caller has waited for so long that it can no longer be served in time. A caller that returns for the
     * rest of a stream is never too late.
     */
    private fun isTooLate(isUnderPressure: Boolean): Boolean {
        val callerTimeout = request.callerTimeout ?: return false
        if (request.resumeAfterEventId != null || !context.isEnabled(Mechanism.LATE_REFUSAL)) return false
        val elapsedTime = estimates.elapsedTimeOf(route)
        if (isUnderPressure) elapsedTime.recordRefusal(context.now())
        elapsedTime.recordArrival(callerTimeout, context.now())
        return elapsedTime.minimumElapsed(callerTimeout) > route.latencyTarget - estimates.startupTimeOf(route)
    }

    override fun onCallerDisconnected() {
        if (!isFinished) finish("caller disconnected")
    }

    override fun onKeysChanged() {
        if (memoryRequest != null) refuseIfKeyRevoked()
    }

    private fun requestMemory() {
        if (refuseIfInadmissible()) return
        val now = context.now()
        val grantDeadline =
            if (headSent || attemptCount > 0 || hadMemory) {
                deadlines.deadline
            } else {
                maxOf(now, deadlines.targetAt - estimates.startupTimeOf(route))
            }
        val newRequest =
            MemoryRequest(
                id = request.id,
                tokens = estimates.requiredTokens(route, request.generation, destination.engine),
                priority = if (headSent) RequestPriority.RESUMED else RequestPriority.of(request.customer, route),
                arrivedAt = deadlines.arrivedAt,
                grantDeadline = grantDeadline,
                avoidedEngines = avoidedEngines,
                onGranted = ::onMemoryGranted,
                onRefused = { reason, delay -> refuseOrAbort(reason, returnDelay.after(reason, delay)) },
                customer = request.customer?.name,
            )
        memoryRequest = newRequest
        summary.recordMemoryRequest(newRequest.tokens, decodeMemory.state(), now)
        decodeMemory.enqueue(newRequest)
    }

    private fun onMemoryGranted(memory: MemoryGrant) {
        memoryRequest = null
        grant = memory
        hadMemory = true
        summary.recordGrant(context.now())
        if (refuseIfInadmissible()) return
        prefillResult = prefillResult?.let { context.unlessLost(it, request.id) }
        if (prefillResult == null && !admission.isTrial) prefillStep.start() else startDecode()
    }

    private fun onPrefilled(result: PrefillResult?) {
        prefillResult = result?.let { context.unlessLost(it, request.id) }
        startDecode()
    }

    private fun startDecode() {
        if (refuseIfInadmissible()) return
        if (!context.maySend(route, deadlines.deadline)) {
            refuseOrAbort(RefusalReason.LEAVING)
            return
        }
        val memory = checkNotNull(grant)
        val name = memory.engine.name
        if (!context.admitsReserved(memory)) {
            replaceEngine(memory)
            return
        }
        attemptCount += 1
        if (!context.upstreamSelector.hasRoom(name, request, context.now())) {
            leaveFullEngine(memory)
            return
        }
        runCount += 1
        context.upstreamSelector.health(name).inFlight += 1
        val lastEventId = (resumePoint as? ResumePoint.After)?.id
        val source = prefillResult?.let { "${it.engine.name}/${it.handle}" } ?: "none"
        val detail =
            "decode of ${route.name} after=$lastEventId prefill=$source reservation=${memory.reservation.id}"
        context.record(EventKind.REQUEST_SENT, request.id, name, detail = detail)
        val attempt =
            UpstreamAttempt(
                upstream = memory.engine.incarnation,
                timeout = deadlines.remaining(context.now()),
                prefillResult = prefillResult,
                reservation = memory.reservation,
                resumeAfterEventId = lastEventId,
            )
        summary.recordDecodeStart(context.now(), isResumed = lastEventId != null)
        decodeCall = context.upstreamPort.send(request, attempt, DecodeReceiver(memory.engine.incarnation))
        restartSilenceTimer()
    }

    /**
     * The engine began to leave, was replaced, asked for a pause or named a limit after it reserved the memory, so
     * memory is requested again; the request keeps its place in the queue. A prefill result can be used by another
     * engine too.
     */
    private fun replaceEngine(memory: MemoryGrant) {
        grant = null
        context.release(memory)
        decodeMemory.onFreed(memory)
        requestMemory()
    }

    /** The engine has no room for the body of the request; another one may have. */
    private fun leaveFullEngine(memory: MemoryGrant) {
        avoidedEngines += memory.engine.name
        if (attemptCount < MAXIMUM_ATTEMPTS) replaceEngine(memory) else refuseOrAbort(RefusalReason.OVERLOADED)
    }

    /** A connection can stay silent for good; a stream that can be resumed elsewhere does not wait for it. */
    private fun restartSilenceTimer() {
        silenceTimer?.cancel()
        if (!mayResume() || !context.isEnabled(Mechanism.SILENCE_WATCH)) return
        silenceTimer = context.scheduler.schedule(SILENCE_TIMEOUT) { onSilence() }
    }

    private fun onSilence() {
        if (isFinished || decodeCall == null) return
        val mayContinue = context.maySend(route, deadlines.deadline) && !request.connection.isCongested
        if (!mayContinue || !context.retryBudget.tryAcquire(destination.service, context.now())) {
            restartSilenceTimer()
            return
        }
        val upstream = cancelDecode() ?: return
        val failure = CallFailure(FaultCause.TIMEOUT, sent = true, "silent for $SILENCE_TIMEOUT")
        context.recordFailure(upstream, request.id, "decode", failure, summary.answerOfDecode)
        continueElsewhere(upstream)
    }

    /** Cancels the decode because of [failure]; the stream may be resumed elsewhere. */
    private fun cancelFailedDecode(failure: CallFailure) {
        val upstream = cancelDecode() ?: return
        onDecodeFailed(upstream, failure)
    }

    /** Cancels the decode in progress and returns its upstream. */
    private fun cancelDecode(): UpstreamName? {
        val upstream = grant?.engine?.name
        decodeCall?.cancel()
        releaseMemory(isUsed = true)
        return upstream
    }

    private fun continueElsewhere(previous: UpstreamName) {
        eventSplitter?.discardIncomplete()
        avoidedEngines += previous
        requestMemory()
    }

    /** Begins the answer to the caller, or goes on with it. Returns whether the body of this answer belongs to it. */
    private fun onHead(upstream: UpstreamName, head: AnswerHead): Boolean {
        head.load?.let { context.upstreamSelector.health(upstream).recordLoad(it, context.now()) }
        return when (val meaning = route.meaningOf(head)) {
            AnswerMeaning.Declined -> false
            AnswerMeaning.Unproven -> {
                cancelFailedDecode(UNPROVEN_SUCCESS)
                false
            }
            is AnswerMeaning.Failed -> onFailedRun(head, meaning)
            AnswerMeaning.Result -> passOn(head)
        }
    }

    private fun onFailedRun(head: AnswerHead, meaning: AnswerMeaning.Failed): Boolean = when {
        mayResume() -> false
        meaning.mayReachCaller -> passOn(head)
        else -> {
            cancelFailedDecode(
                CallFailure(FaultCause.REJECTED, sent = true, "status ${head.status}, withheld from the caller"),
            )
            false
        }
    }

    /** Nothing but the rest of the stream may follow the head of a stream. */
    private fun passOn(head: AnswerHead): Boolean {
        if (headSent) return head.isSuccess
        headSent = true
        reply.sendHead(head, length = null)
        return true
    }

    private fun onContent(bytes: ByteArray) {
        summary.recordContent(bytes, context.now())?.let(estimates::recordStart)
        grant?.let { context.upstreamSelector.recordProgress(it.engine.name, summary, prefillResult, context.now()) }
        restartSilenceTimer()
        val splitter = eventSplitter
        if (splitter == null) {
            reply.sendContent(bytes)
            return
        }
        val events = splitter.append(bytes)
        if (splitter.isEventTooLarge) {
            cancelFailedDecode(CallFailure(FaultCause.PROTOCOL, sent = true, "an event exceeds the size limit"))
            return
        }
        if (events == null) return
        reply.sendContent(events)
    }

    private fun onDeclined(upstream: UpstreamName, head: AnswerHead) {
        runCount -= 1
        avoidedEngines += upstream
        context.upstreamSelector.health(upstream).recordDecline(context.now())
        if (head.isWrongInstance) context.removeReplaced(upstream, request.id)
        context.record(EventKind.REQUEST_DECLINED, request.id, upstream, detail = "decode ${head.status}")
        val mayRetry = !admission.isTrial && attemptCount < MAXIMUM_ATTEMPTS
        if (mayRetry && context.retryBudget.tryAcquire(destination.service, context.now())) {
            requestMemory()
        } else {
            refuseOrAbort(RefusalReason.OVERLOADED)
        }
    }

    private fun onDecodeFailed(upstream: UpstreamName, failure: CallFailure) {
        val step = "decode after ${summary.eventsOfDecode} events, shared parts=${request.sharedParts.joinToString(
            ",",
        )}"
        context.recordFailure(upstream, request.id, step, failure, summary.answerOfDecode)
        if (!failure.sent) runCount -= 1
        when {
            !failure.sent && attemptCount < MAXIMUM_ATTEMPTS -> continueElsewhere(upstream)
            !failure.sent -> refuseOrAbort(RefusalReason.NO_UPSTREAM)
            mayResume() && context.retryBudget.tryAcquire(destination.service, context.now()) ->
                continueElsewhere(upstream)
            else -> refuseOrAbort(RefusalReason.ANSWER_LOST)
        }
    }

    private fun mayResume() = !admission.isTrial &&
        route.isResumable &&
        runCount < route.maximumRuns &&
        resumePoint != ResumePoint.Unknown &&
        context.isEnabled(Mechanism.RESUMPTION)

    private fun onCompleted(upstream: UpstreamName) {
        context.upstreamSelector.health(upstream).recordSuccess()
        recordDecodeCost()
        if (request.resumeAfterEventId == null) estimates.recordEnd(route, request.generation, summary.events)
        finish("answered")
        reply.finish()
    }

    /** An error answer was passed on whole. It is no stream, so that nothing is learned from its length and time. */
    private fun onErrorPassedOn(upstream: UpstreamName) {
        context.upstreamSelector.health(upstream).recordError(context.now())
        finish("answered with an error")
        reply.finish()
    }

    /**
     * Records the cost of the decode from when it was sent. Memory is also held while the prompt waits for its prefill,
     * but that wait belongs to the prefill pool and says nothing about decode.
     */
    private fun recordDecodeCost() {
        val startedAt = summary.decodeStartedAt ?: return
        val engineConfiguration = destination.engine ?: return
        val tokens = summary.requestedTokens
        val engineShare = maxOf(
            1.0 / engineConfiguration.slots.coerceAtLeast(1),
            tokens.toDouble() / engineConfiguration.memoryTokens.coerceAtLeast(1),
        )
        estimates.rolePlan.recordDecode(context.now() - startedAt, engineShare)
    }

    private fun refuseOrAbort(reason: RefusalReason) = refuseOrAbort(reason, returnDelay.after(reason))

    private fun refuseOrAbort(reason: RefusalReason, minimumDelay: Duration) {
        if (isFinished) return
        if (headSent) {
            finish("aborted: $reason")
            reply.abort()
            return
        }
        estimates.elapsedTimeOf(route).recordRefusal(context.now())
        val reportedReason = if (runCount > 0 && reason.isNotRun) RefusalReason.ANSWER_LOST else reason
        val remaining = deadlines.remaining(context.now())
        val retryAfter = if (reportedReason.isNotRun) context.returnDelay(minimumDelay, remaining) else null
        finish("refused: $reportedReason")
        reply.refuse(Refusal(reportedReason, retryAfter))
    }

    private fun onTimeout() = refuseOrAbort(if (runCount > 0) RefusalReason.TIMEOUT else RefusalReason.EXPIRED)

    override fun onFinalDeadline() = refuseOrAbort(if (runCount > 0) RefusalReason.TIMEOUT else RefusalReason.LEAVING)

    private fun finish(outcome: String) {
        isFinished = true
        timeoutTimer?.cancel()
        silenceTimer?.cancel()
        endCheck?.cancel()
        memoryRequest?.let(decodeMemory::cancel)
        prefillStep.cancel()
        decodeCall?.cancel()
        val engine = grant?.engine?.name
        releaseMemory(isUsed = decodeCall != null)
        val lastSentAt = listOfNotNull(prefillStep.sentAt, summary.decodeStartedAt).maxOrNull()
        val detail = summary.describe(outcome, attemptCount, lastSentAt, context.now())
        context.record(EventKind.REQUEST_ENDED, request.id, engine, detail = detail)
        onFinished()
    }

    /**
     * Releases memory and prefill result; the latter is held alone while the request waits for other memory. If
     * [isUsed], the decode engine has taken them, and only the accounts of this process change.
     */
    private fun releaseMemory(isUsed: Boolean) {
        if (!isUsed) prefillResult?.let(context::free)
        prefillResult = null
        val memory = grant ?: return
        grant = null
        val wasSent = decodeCall != null
        if (wasSent) context.upstreamSelector.health(memory.engine.name).inFlight -= 1
        decodeCall = null
        if (!isUsed) context.release(memory, wasSent)
        decodeMemory.onFreed(memory)
    }

    private inner class DecodeReceiver(private val incarnation: UpstreamIncarnation) : AnswerReceiver {
        private val upstream = incarnation.name
        private val promptWatch = context.watchPrompt(request, incarnation)
        private var head: AnswerHead? = null
        private var isPassedOn = false

        override fun onHead(head: AnswerHead) {
            this.head = head
            summary.recordHead(head)
            if (!isFinished) isPassedOn = this@StreamFlow.onHead(upstream, head)
        }

        override fun onContent(bytes: ByteArray) {
            if (isFinished || decodeCall == null || !isPassedOn) return
            if (head?.isSuccess == true) {
                this@StreamFlow.onContent(bytes)
                promptWatch.onWritten(summary.eventsOfDecode)
            } else {
                reply.sendContent(bytes)
            }
        }

        override fun onEnd() {
            if (isFinished) return
            val answered = checkNotNull(head)
            if (answered.isDeclined) {
                grant?.let(decodeMemory::onDeclined)
                releaseMemory(isUsed = false)
                onDeclined(upstream, answered)
            } else if (isPassedOn && summary.isCutOff(answered)) {
                onFailure(STREAM_CUT_OFF)
            } else if (isPassedOn) {
                if (answered.endsWithConnection) confirmEnd() else onComplete()
            } else {
                releaseMemory(isUsed = true)
                onDecodeFailed(upstream, CallFailure(FaultCause.REJECTED, true, "status ${answered.status}"))
            }
        }

        /** Until the check ends, the stream has neither ended nor failed, and no other timer may resume it. */
        private fun confirmEnd() {
            silenceTimer?.cancel()
            val path = destination.healthPath
            endCheck = context.survivalCheck.start(incarnation, path, request.id, !mayResume()) { hasSurvived ->
                if (hasSurvived) onComplete() else onFailure(END_UNCONFIRMED)
            }
        }

        private fun onComplete() {
            promptWatch.onEnded()
            if (head?.isSuccess == true) onCompleted(upstream) else onErrorPassedOn(upstream)
        }

        override fun onFailure(failure: CallFailure) {
            if (isFinished) return
            releaseMemory(isUsed = failure.sent)
            if (failure == END_UNCONFIRMED) {
                promptWatch.onCrashed()
            } else if (failure.mayBeCrash) {
                onConnectionLost()
            }
            onDecodeFailed(upstream, failure)
        }

        /** The engine may have crashed, or only have cut the answer off; the stream does not wait to learn which. */
        private fun onConnectionLost() {
            if (!promptWatch.isUndecided) return
            val lostAt = context.now()
            context.survivalCheck.start(incarnation, destination.healthPath, request.id) { hasSurvived ->
                if (!hasSurvived) promptWatch.onCrashed(lostAt)
            }
        }
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3

        /** Callers abandon a stream that pauses for some seconds. */
        val SILENCE_TIMEOUT: Duration = 1_500.milliseconds
    }
}
