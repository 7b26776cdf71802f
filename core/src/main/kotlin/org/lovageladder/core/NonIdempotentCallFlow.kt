package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Handles a non-idempotent call. Before anything is sent, a claim that names the companion and its incarnation is
 * created in the key-value service; only that incarnation may start the call, and only once. The caller is told "not
 * run" only when the companion voided the claim, when this entry did not send the call, or when the upstream declined
 * it. A repeated submission of a key gets the answer to the first one.
 */
internal class NonIdempotentCallFlow(
    private val components: EntryComponents,
    private val context: RequestContext,
    private val content: RequestContent.Plain,
    private val idempotencyKey: IdempotencyKey,
    private val target: LatencyTarget.Answer,
    private val acceptedAt: Moment,
) : RequestFlow {
    private val storeKey = claimStoreKey(context.service.name, idempotencyKey)
    private val excluded = mutableSetOf<UpstreamName>()
    private var state: NonIdempotentCallState = NonIdempotentCallState.Idle

    /** Runs at the deadline, and after it at the end of the void timeout. */
    private var timer: Timer? = null
    private var storeTries = 0

    private val deadline: Moment get() = acceptedAt + target.within

    /** The claim whose outcome this request waits for; null while it waits for none. */
    val watchedClaim: WatchedClaim? get() = when (val current = state) {
        is NonIdempotentCallState.Started -> WatchedClaim(current.record.host, storeKey, current.record.number)
        is NonIdempotentCallState.Following -> WatchedClaim(current.record.host, storeKey, current.record.number)
        is NonIdempotentCallState.Voiding -> WatchedClaim(current.record.host, storeKey, current.record.number)
        else -> null
    }

    override fun begin(now: Moment) {
        timer = components.timers.at(deadline) { onDeadline(it) }
        createClaim(now)
    }

    override fun onCallerDisconnected(now: Moment) {
        timer?.cancel()
        (state as? NonIdempotentCallState.Started)?.attempt?.let { components.attempts.cancel(it) }
        state = NonIdempotentCallState.Finished
        context.abandon()
    }

    override fun onMessage(attempt: Attempt, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.PlainFinished -> {
                components.attempts.recordLoad(attempt, message.load, now)
                components.attempts.end(attempt)
                attempt.upstream.firstLatency.record(now - attempt.startedAt)
                finish(Outcome.Answered(message.answer))
            }
            is PeerMessage.Refused -> {
                components.attempts.recordLoad(attempt, message.load, now)
                components.attempts.end(attempt)
                onCallNotRun(attempt, message.fault, message.retryAfter, now)
            }
            is PeerMessage.AttemptFailed -> {
                components.attempts.recordLoad(attempt, message.load, now)
                components.attempts.end(attempt)
                onAttemptFailed(attempt, message, now)
            }
            else -> Unit
        }
    }

    /** Keeps the claim; [onConnected] asks about the call on the next connection. */
    override fun onConnectionLost(attempt: Attempt, fault: Fault, now: Moment) {
        val current = state as? NonIdempotentCallState.Started ?: return
        state = current.copy(attempt = null)
    }

    /** Asks the companion on [link], which has just connected, about the claim that this request waits for. */
    fun onConnected(link: CompanionLink, now: Moment) {
        val claim = watchedClaim?.takeIf { it.host == link.host } ?: return
        when (val current = state) {
            is NonIdempotentCallState.Started -> {
                if (link.incarnation == current.record.incarnation) {
                    components.links.send(link, PeerMessage.VoidClaim(claim.storeKey, claim.number))
                    components.links.send(link, PeerMessage.FollowClaim(claim.storeKey, claim.number))
                } else {
                    refuseAsUnknown(RESTARTED_DETAIL, link.host)
                }
            }
            is NonIdempotentCallState.Following -> followClaim(current, now)
            else -> Unit
        }
    }

    /** Handles the companion's report on the watched claim. */
    fun onClaimStatus(message: PeerMessage.ClaimStatus, now: Moment) {
        when (message.state) {
            ClaimState.ANSWERED -> message.answer?.let { finish(Outcome.Answered(it, replayed = state.isFollowing)) }
            ClaimState.LOST -> refuseAsUnknown("the upstream's answer was lost", watchedClaim?.host)
            ClaimState.VOIDED -> onClaimVoided(now)
            ClaimState.STARTED -> onClaimRunning(now)
        }
    }

    private fun createClaim(now: Moment) {
        val pool = context.service.plainPool
        val upstream = pool?.let { components.selector.select(it, Placement.Plain, excluded, now) }
        val incarnation = upstream?.let { components.links.up(it.entry.host)?.incarnation }
        if (upstream == null || incarnation == null) {
            refuse(RefusalReason.NO_UPSTREAM, Execution.UNKNOWN, "no available upstream in the service's pool")
            return
        }
        val record = ClaimRecord(content.bodyDigest, 1, upstream.entry.host, incarnation, context.id)
        state = NonIdempotentCallState.Claiming
        components.claimWriter.create(storeKey, record, now, isRetry = storeTries > 0) { answer, at ->
            onClaimResult(upstream, record, answer, at)
        }
    }

    private fun onClaimResult(upstream: UpstreamRecord, record: ClaimRecord, answer: ClaimResult, now: Moment) {
        if (context.isFinished) return
        when (answer) {
            is ClaimResult.Created -> {
                context.record(EventKind.CLAIM_CREATED, upstream.name)
                startCall(upstream, record, answer.revision, now)
            }
            is ClaimResult.AlreadyClaimed -> resolveExistingClaim(answer.entry, now)
            is ClaimResult.Unavailable -> retryClaimCreation(answer.fault, now)
            is ClaimResult.NotSent -> refuseNotSent(answer.fault)
        }
    }

    /** Retries a creation that got no answer. If an earlier try took effect, the next one finds its claim. */
    private fun retryClaimCreation(fault: Fault, now: Moment) {
        storeTries++
        if (storeTries < MAXIMUM_STORE_TRIES && now + components.settings.storeTimeout < deadline) {
            createClaim(now)
        } else {
            refuseNotSent(fault)
        }
    }

    private fun refuseNotSent(fault: Fault) {
        refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "this submission was not sent", fault)
    }

    private fun startCall(upstream: UpstreamRecord, record: ClaimRecord, revision: Long, now: Moment) {
        val id = context.nextAttemptId()
        val message = PeerMessage.StartPlain(
            attempt = id,
            upstream = upstream.name,
            content = content,
            claim = ClaimTicket(storeKey, record.number, revision, record),
            idempotencyKey = idempotencyKey,
            priority = context.requestClass.priority,
            worth = context.requestClass.worth,
            startWithin = (deadline - now).coerceAtLeast(Duration.ZERO),
        )
        val isSameIncarnation = components.links.up(upstream.entry.host)?.incarnation == record.incarnation
        val attempt = if (isSameIncarnation) components.attempts.start(id, upstream, this, message, now) else null
        if (attempt == null) {
            val detail = "the companion restarted or disconnected before the call was sent"
            releaseClaim(record, revision, RefusalReason.NO_UPSTREAM, detail)
        } else {
            state = NonIdempotentCallState.Started(record, revision, attempt)
        }
    }

    /** Handles a claim that another submission, or an earlier try of this one, has created. */
    private fun resolveExistingClaim(entry: StoredEntry, now: Moment) {
        val record = decodeClaim(entry.value)
        when {
            record == null -> refuse(
                RefusalReason.STORE_UNAVAILABLE,
                Execution.UNKNOWN,
                "the stored claim cannot be decoded",
            )
            record.bodyDigest != content.bodyDigest ->
                refuse(RefusalReason.KEY_REUSED, Execution.NOT_RUN, "the key was used with another request")
            record.answer != null -> {
                context.record(EventKind.CLAIM_REPLAYED)
                finish(Outcome.Answered(record.answer, replayed = true))
            }
            record.released -> takeOverClaim(record, entry.revision, now)
            else -> followClaim(NonIdempotentCallState.Following(record, entry.revision), now)
        }
    }

    private fun followClaim(following: NonIdempotentCallState.Following, now: Moment) {
        state = following
        val link = components.links.up(following.record.host)
        when {
            link == null -> refuseAsUnknown("the companion that held the claim is not connected", following.record.host)
            link.incarnation != following.record.incarnation -> refuseAsUnknown(RESTARTED_DETAIL, following.record.host)
            else -> {
                components.links.send(link, PeerMessage.FollowClaim(storeKey, following.record.number))
                components.timers.at(now + CLAIM_REPORT_TIMEOUT) { voidUnreportedClaim(following) }
            }
        }
    }

    /** Voids a claim that its companion has not reported as started, so that it can be taken over. */
    private fun voidUnreportedClaim(following: NonIdempotentCallState.Following) {
        val current = state as? NonIdempotentCallState.Following ?: return
        if (current.record != following.record || current.isReportedRunning) return
        val link = components.links.up(following.record.host) ?: return
        components.links.send(link, PeerMessage.VoidClaim(storeKey, following.record.number))
    }

    private fun onClaimRunning(now: Moment) {
        val current = state
        if (current is NonIdempotentCallState.Following) state = current.copy(isReportedRunning = true)
        if (current is NonIdempotentCallState.Voiding) refuseInProgress(current.record.host)
        if (current is NonIdempotentCallState.Started && now >= deadline) refuseInProgress(current.record.host)
    }

    private fun refuseInProgress(host: HostName) {
        val detail = "the call is running; submit the same key again to get its answer"
        refuse(RefusalReason.IN_PROGRESS, Execution.UNKNOWN, detail, host = host)
    }

    private fun onClaimVoided(now: Moment) {
        when (val current = state) {
            is NonIdempotentCallState.Following -> takeOverClaim(current.record, current.revision, now)
            is NonIdempotentCallState.Started -> {
                current.attempt?.let { components.attempts.end(it) }
                releaseVoidedClaim(current.record, current.revision)
            }
            is NonIdempotentCallState.Voiding -> releaseVoidedClaim(current.record, current.revision)
            else -> Unit
        }
    }

    private fun releaseVoidedClaim(record: ClaimRecord, revision: Long) {
        context.record(EventKind.CLAIM_VOIDED)
        releaseClaim(record, revision, RefusalReason.DEADLINE, "the call was not started in time")
    }

    /**
     * Releases a claim whose call did not and will not start. It is first marked as released in the key-value service.
     * Only if that succeeds is the caller told "not run", since no other submission has then taken the claim over.
     */
    private fun releaseClaim(
        record: ClaimRecord,
        revision: Long,
        reason: RefusalReason,
        detail: String,
        fault: Fault? = null,
        retryAfter: Duration = DEFAULT_RETRY_AFTER,
    ) {
        state = NonIdempotentCallState.Claiming
        val released = record.copy(number = record.number + 1, request = context.id, released = true)
        val request = StoreRequest.Replace(StoreWrite(storeKey, encodeClaim(released)), revision)
        components.output.callStore(request, components.settings.storeTimeout) { answer, at ->
            when {
                context.isFinished -> Unit
                answer is StoreAnswer.Written -> refuse(reason, Execution.NOT_RUN, detail, fault, retryAfter)
                answer is StoreAnswer.Conflict -> onReleaseConflict(
                    released,
                    answer.current.firstOrNull(),
                    reason,
                    detail,
                    at,
                )
                else -> refuse(reason, Execution.UNKNOWN, "$detail; this submission did not run", fault, retryAfter)
            }
        }
    }

    private fun onReleaseConflict(
        released: ClaimRecord,
        current: StoredEntry?,
        reason: RefusalReason,
        detail: String,
        now: Moment,
    ) {
        when {
            current == null -> refuse(reason, Execution.UNKNOWN, "$detail; the claim expired")
            current.value == encodeClaim(released) -> refuse(reason, Execution.NOT_RUN, detail)
            else -> resolveExistingClaim(current, now)
        }
    }

    private fun takeOverClaim(previous: ClaimRecord, revision: Long, now: Moment) {
        val pool = context.service.plainPool ?: return
        val upstream = components.selector.select(pool, Placement.Plain, excluded, now)
        val incarnation = upstream?.let { components.links.up(it.entry.host)?.incarnation }
        if (upstream == null || incarnation == null) {
            releaseClaim(previous, revision, RefusalReason.NO_UPSTREAM, "no available upstream in the service's pool")
            return
        }
        val record = ClaimRecord(content.bodyDigest, previous.number + 1, upstream.entry.host, incarnation, context.id)
        state = NonIdempotentCallState.Claiming
        val request = StoreRequest.Replace(StoreWrite(storeKey, encodeClaim(record)), revision)
        components.output.callStore(request, components.settings.storeTimeout) { answer, at ->
            onTakeOverAnswer(upstream, record, answer, at)
        }
    }

    private fun onTakeOverAnswer(upstream: UpstreamRecord, record: ClaimRecord, answer: StoreAnswer, now: Moment) {
        if (context.isFinished) return
        when (answer) {
            is StoreAnswer.Written -> {
                context.record(EventKind.CLAIM_TAKEN_OVER, upstream.name)
                startCall(upstream, record, answer.revision, now)
            }
            is StoreAnswer.Conflict -> onTakeOverConflict(upstream, record, answer.current.firstOrNull(), now)
            else -> readTakeOverResult(upstream, record, now)
        }
    }

    private fun onTakeOverConflict(upstream: UpstreamRecord, record: ClaimRecord, current: StoredEntry?, now: Moment) {
        when {
            current == null -> refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "the claim expired")
            current.value == encodeClaim(record) -> startCall(upstream, record, current.revision, now)
            else -> resolveExistingClaim(current, now)
        }
    }

    private fun readTakeOverResult(upstream: UpstreamRecord, record: ClaimRecord, now: Moment) {
        storeTries++
        if (storeTries >= MAXIMUM_STORE_TRIES || now + components.settings.storeTimeout >= deadline) {
            refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "this submission was not sent")
            return
        }
        components.output.callStore(StoreRequest.Read(storeKey), components.settings.storeTimeout) { answer, at ->
            if (!context.isFinished) {
                val found = (answer as? StoreAnswer.Found)?.entries
                if (found == null) {
                    readTakeOverResult(upstream, record, at)
                } else {
                    onTakeOverConflict(upstream, record, found.firstOrNull(), at)
                }
            }
        }
    }

    /** Handles a refusal: the call did not start under this claim number and never will. */
    private fun onCallNotRun(attempt: Attempt, fault: Fault, retryAfter: Duration, now: Moment) {
        val started = state as? NonIdempotentCallState.Started
        if (context.isFinished || started == null) return
        excluded += attempt.upstream.name
        when {
            fault.cause == FaultCause.FENCED -> readCurrentClaim(now)
            now < deadline && components.retryBudget.tryTake() -> {
                context.record(EventKind.ATTEMPT_RETRIED, detail = fault.toString())
                takeOverClaim(started.record, started.revision, now)
            }
            else -> {
                val reason = if (now < deadline) RefusalReason.OVERLOADED else RefusalReason.DEADLINE
                releaseClaim(started.record, started.revision, reason, "the call was not started", fault, retryAfter)
            }
        }
    }

    /** Reads the claim again after another submission has taken it over. */
    private fun readCurrentClaim(now: Moment) {
        state = NonIdempotentCallState.Claiming
        storeTries++
        if (storeTries > MAXIMUM_STORE_TRIES || now >= deadline) {
            refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "another submission took the claim over")
            return
        }
        components.output.callStore(StoreRequest.Read(storeKey), components.settings.storeTimeout) { answer, at ->
            if (!context.isFinished) {
                val entry = (answer as? StoreAnswer.Found)?.entries?.firstOrNull()
                if (entry == null) readCurrentClaim(at) else resolveExistingClaim(entry, at)
            }
        }
    }

    private fun onAttemptFailed(attempt: Attempt, message: PeerMessage.AttemptFailed, now: Moment) {
        if (context.isFinished) return
        context.record(EventKind.ATTEMPT_FAILED, attempt.upstream.name, message.fault.toString())
        when (message.execution) {
            Execution.NOT_RUN -> onCallNotRun(attempt, message.fault, DEFAULT_RETRY_AFTER, now)
            Execution.RAN, Execution.UNKNOWN ->
                refuseAsUnknown("the call failed after it was sent", attempt.upstream.entry.host, message.fault)
        }
    }

    private fun onDeadline(now: Moment) {
        if (context.isFinished) return
        when (val current = state) {
            is NonIdempotentCallState.Started -> voidStartedClaim(current, now)
            is NonIdempotentCallState.Following -> refuseInProgress(current.record.host)
            else -> refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "this submission did not run")
        }
    }

    private fun voidStartedClaim(current: NonIdempotentCallState.Started, now: Moment) {
        val link = components.links.up(current.record.host)?.takeIf { it.incarnation == current.record.incarnation }
        if (link == null) {
            refuseAsUnknown("the companion is not connected", current.record.host)
            return
        }
        current.attempt?.let { components.attempts.end(it) }
        state = NonIdempotentCallState.Voiding(current.record, current.revision)
        components.links.send(link, PeerMessage.VoidClaim(storeKey, current.record.number))
        timer = components.timers.at(now + components.settings.voidTimeout) {
            refuseAsUnknown("the companion did not answer", current.record.host)
        }
    }

    private fun refuseAsUnknown(detail: String, host: HostName?, fault: Fault? = null) {
        if (context.isFinished) return
        context.record(EventKind.CLAIM_UNKNOWN, detail = detail)
        val submissionMayHaveRun = !state.isFollowing
        val reportedFault = fault ?: Fault(Step.PLAIN_CALL, host?.text.orEmpty(), FaultCause.CONNECTION_LOST, detail)
        refuse(
            RefusalReason.UPSTREAM_FAILED,
            Execution.UNKNOWN,
            detail,
            reportedFault,
            submissionRan = submissionMayHaveRun,
        )
    }

    private fun refuse(
        reason: RefusalReason,
        execution: Execution,
        detail: String,
        fault: Fault? = null,
        retryAfter: Duration = DEFAULT_RETRY_AFTER,
        submissionRan: Boolean = false,
        host: HostName? = null,
    ) {
        val reportedFault = fault ?: host?.let { Fault(Step.CLAIM, it.text, FaultCause.TIMEOUT, detail) }
        finish(
            Outcome.Refused(reason, execution, submissionRan, components.addJitter(retryAfter), reportedFault, detail),
        )
    }

    private fun finish(outcome: Outcome) {
        if (context.isFinished) return
        timer?.cancel()
        (state as? NonIdempotentCallState.Started)?.attempt?.let { components.attempts.end(it) }
        state = NonIdempotentCallState.Finished
        if (outcome is Outcome.Answered) components.retryBudget.recordSuccess()
        context.finish(outcome)
    }

    private companion object {
        const val MAXIMUM_STORE_TRIES = 3
        const val RESTARTED_DETAIL = "the companion that held the claim restarted"
        val CLAIM_REPORT_TIMEOUT = 50.milliseconds
    }
}
