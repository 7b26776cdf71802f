package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Course of a non-idempotent call. A claim that names the companion and its incarnation is created in the key-value
 * service before anything is sent; only that incarnation may start the key, once. The caller is told "not run" only
 * when the companion voided the claim, when this entry never sent it, or when the upstream certainly refused it.
 * A repeated key is answered from the first submission.
 */
internal class ActionFlow(
    private val work: EntryWork,
    private val context: RequestContext,
    private val content: RequestContent.Plain,
    private val idempotencyKey: IdempotencyKey,
    private val target: LatencyTarget.Answer,
    private val acceptedAt: Moment,
) : RequestFlow {
    private val storeKey = claimStoreKey(context.service.name, idempotencyKey)
    private val excluded = mutableSetOf<UpstreamName>()
    private var state: ActionState = ActionState.Idle
    private var timer: Timer? = null
    private var storeTries = 0

    private val due: Moment get() = acceptedAt + target.within

    /** Key and number of the claim that this request waits on at [host]. */
    val watched: WatchedClaim? get() = when (val current = state) {
        is ActionState.Started -> WatchedClaim(current.record.host, storeKey, current.record.number)
        is ActionState.Following -> WatchedClaim(current.record.host, storeKey, current.record.number)
        is ActionState.Voiding -> WatchedClaim(current.record.host, storeKey, current.record.number)
        else -> null
    }

    override fun begin(now: Moment) {
        timer = work.timers.at(due) { expire(it) }
        claim(now)
    }

    override fun callerLeft(now: Moment) {
        timer?.cancel()
        (state as? ActionState.Started)?.attempt?.let { work.attempts.cancel(it) }
        state = ActionState.Over
        context.abandon()
    }

    override fun received(attempt: Attempt, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.PlainFinished -> {
                work.attempts.learn(attempt, message.load, now)
                work.attempts.end(attempt)
                attempt.upstream.firstLatency.observe(now - attempt.startedAt)
                give(Outcome.Answered(message.answer))
            }
            is PeerMessage.Refused -> {
                work.attempts.learn(attempt, message.load, now)
                work.attempts.end(attempt)
                notStarted(attempt, message.fault, message.retryAfter, now)
            }
            is PeerMessage.AttemptFailed -> {
                work.attempts.learn(attempt, message.load, now)
                work.attempts.end(attempt)
                broken(attempt, message, now)
            }
            else -> Unit
        }
    }

    /** The connection is gone: what became of the call is asked on the next one. */
    override fun lost(attempt: Attempt, fault: Fault, now: Moment) {
        val current = state as? ActionState.Started ?: return
        state = current.copy(attempt = null)
    }

    /** The companion on [link] is connected (again): ask it about the claim that this request waits on. */
    fun linkUp(link: CompanionLink, now: Moment) {
        val claim = watched?.takeIf { it.host == link.host } ?: return
        when (val current = state) {
            is ActionState.Started -> {
                if (link.incarnation == current.record.incarnation) {
                    work.links.send(link, PeerMessage.VoidClaim(claim.storeKey, claim.number))
                    work.links.send(link, PeerMessage.FollowClaim(claim.storeKey, claim.number))
                } else {
                    unknown(CRASHED_DETAIL, link.host)
                }
            }
            is ActionState.Following -> follow(current, now)
            else -> Unit
        }
    }

    /** The companion reported on the watched claim. */
    fun claimStatus(message: PeerMessage.ClaimStatus, now: Moment) {
        when (message.state) {
            ClaimState.ANSWERED -> message.answer?.let { give(Outcome.Answered(it, replayed = state.isFollowing)) }
            ClaimState.LOST -> unknown("the upstream's answer was lost", watched?.host)
            ClaimState.VOIDED -> voided(now)
            ClaimState.STARTED -> stillRunning(now)
        }
    }

    private fun claim(now: Moment) {
        val pool = context.service.plainPool
        val upstream = pool?.let { work.choice.pick(it, Placement.Plain, excluded, now) }
        val incarnation = upstream?.let { work.links.up(it.entry.host)?.incarnation }
        if (upstream == null || incarnation == null) {
            refuse(RefusalReason.NO_UPSTREAM, Execution.UNKNOWN, "no usable upstream in the service's pool")
            return
        }
        val record = ClaimRecord(content.bodyDigest, 1, upstream.entry.host, incarnation, context.id)
        state = ActionState.Claiming
        work.claims.create(storeKey, record, now, repeated = storeTries > 0) { answer, at ->
            claimed(upstream, record, answer, at)
        }
    }

    private fun claimed(upstream: UpstreamRecord, record: ClaimRecord, answer: ClaimAnswer, now: Moment) {
        if (context.over) return
        when (answer) {
            is ClaimAnswer.Ours -> {
                context.record(EventKind.CLAIM_CREATED, upstream.name)
                start(upstream, record, answer.revision, now)
            }
            is ClaimAnswer.Theirs -> resolve(answer.entry, now)
            is ClaimAnswer.Unavailable -> storeUnavailable(answer.fault, now)
            is ClaimAnswer.NotAsked -> refuseUnsent(answer.fault)
        }
    }

    /** A creation without an answer is repeated: if an earlier one took effect, the next finds it standing. */
    private fun storeUnavailable(fault: Fault, now: Moment) {
        storeTries++
        if (storeTries < MAX_STORE_TRIES && now + work.settings.storeTimeout < due) {
            claim(now)
        } else {
            refuseUnsent(fault)
        }
    }

    private fun refuseUnsent(fault: Fault) {
        refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "this submission was not sent", fault)
    }

    private fun start(upstream: UpstreamRecord, record: ClaimRecord, revision: Long, now: Moment) {
        val id = context.nextAttempt()
        val message = PeerMessage.StartPlain(
            attempt = id,
            upstream = upstream.name,
            content = content,
            claim = ClaimTicket(storeKey, record.number, revision, record),
            idempotencyKey = idempotencyKey,
            priority = context.requestClass.priority,
            worth = context.requestClass.worth,
            startWithin = (due - now).coerceAtLeast(Duration.ZERO),
        )
        val sameProcess = work.links.up(upstream.entry.host)?.incarnation == record.incarnation
        val attempt = if (sameProcess) work.attempts.begin(id, upstream, this, message, now) else null
        if (attempt == null) {
            val detail = "the companion went before the action was sent"
            release(record, revision, RefusalReason.NO_UPSTREAM, detail)
        } else {
            state = ActionState.Started(record, revision, attempt)
        }
    }

    /** Another submission, or an earlier try of this one, holds the claim. */
    private fun resolve(entry: StoredEntry, now: Moment) {
        val record = decodeClaim(entry.value)
        when {
            record == null -> refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "the claim is unreadable")
            record.bodyDigest != content.bodyDigest ->
                refuse(RefusalReason.KEY_REUSED, Execution.NOT_RUN, "the key was used with another request")
            record.answer != null -> {
                context.record(EventKind.CLAIM_REPLAYED)
                give(Outcome.Answered(record.answer, replayed = true))
            }
            record.released -> takeOver(record, entry.revision, now)
            else -> follow(ActionState.Following(record, entry.revision), now)
        }
    }

    private fun follow(following: ActionState.Following, now: Moment) {
        state = following
        val link = work.links.up(following.record.host)
        when {
            link == null -> unknown("the companion that held the claim is not connected", following.record.host)
            link.incarnation != following.record.incarnation -> unknown(CRASHED_DETAIL, following.record.host)
            else -> {
                work.links.send(link, PeerMessage.FollowClaim(storeKey, following.record.number))
                work.timers.at(now + FOLLOW_PATIENCE) { voidUnheard(following) }
            }
        }
    }

    /** The companion knows nothing of the claim yet: forbid its start, so that it can be taken over. */
    private fun voidUnheard(following: ActionState.Following) {
        val current = state as? ActionState.Following ?: return
        if (current.record != following.record || current.heard) return
        val link = work.links.up(following.record.host) ?: return
        work.links.send(link, PeerMessage.VoidClaim(storeKey, following.record.number))
    }

    private fun stillRunning(now: Moment) {
        val current = state
        if (current is ActionState.Following) state = current.copy(heard = true)
        if (current is ActionState.Voiding) inProgress(current.record.host)
        if (current is ActionState.Started && now >= due) inProgress(current.record.host)
    }

    private fun inProgress(host: HostName) {
        val detail = "the action is running; submit the same key again to learn its answer"
        refuse(RefusalReason.IN_PROGRESS, Execution.UNKNOWN, detail, host = host)
    }

    private fun voided(now: Moment) {
        when (val current = state) {
            is ActionState.Following -> takeOver(current.record, current.revision, now)
            is ActionState.Started -> {
                current.attempt?.let { work.attempts.end(it) }
                releaseVoided(current.record, current.revision)
            }
            is ActionState.Voiding -> releaseVoided(current.record, current.revision)
            else -> Unit
        }
    }

    private fun releaseVoided(record: ClaimRecord, revision: Long) {
        context.record(EventKind.CLAIM_VOIDED)
        release(record, revision, RefusalReason.DEADLINE, "the action was not started in time")
    }

    /**
     * Gives up a claim under which nothing started and nothing will. The claim is marked so in the key-value service
     * first: if that succeeds, no other submission took the key over before the caller is told "not run".
     */
    private fun release(
        record: ClaimRecord,
        revision: Long,
        reason: RefusalReason,
        detail: String,
        fault: Fault? = null,
        retryAfter: Duration = DEFAULT_RETRY_AFTER,
    ) {
        state = ActionState.Claiming
        val released = record.copy(number = record.number + 1, request = context.id, released = true)
        val request = StoreRequest.Replace(StoreWrite(storeKey, encodeClaim(released)), revision)
        work.output.askStore(request, work.settings.storeTimeout) { answer, at ->
            when {
                context.over -> Unit
                answer is StoreAnswer.Written -> refuse(reason, Execution.NOT_RUN, detail, fault, retryAfter)
                answer is StoreAnswer.Conflict -> releaseLost(
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

    private fun releaseLost(
        released: ClaimRecord,
        current: StoredEntry?,
        reason: RefusalReason,
        detail: String,
        now: Moment,
    ) {
        when {
            current == null -> refuse(reason, Execution.UNKNOWN, "$detail; the claim expired")
            current.value == encodeClaim(released) -> refuse(reason, Execution.NOT_RUN, detail)
            else -> resolve(current, now)
        }
    }

    private fun takeOver(previous: ClaimRecord, revision: Long, now: Moment) {
        val pool = context.service.plainPool ?: return
        val upstream = work.choice.pick(pool, Placement.Plain, excluded, now)
        val incarnation = upstream?.let { work.links.up(it.entry.host)?.incarnation }
        if (upstream == null || incarnation == null) {
            release(previous, revision, RefusalReason.NO_UPSTREAM, "no usable upstream in the service's pool")
            return
        }
        val record = ClaimRecord(content.bodyDigest, previous.number + 1, upstream.entry.host, incarnation, context.id)
        state = ActionState.Claiming
        val request = StoreRequest.Replace(StoreWrite(storeKey, encodeClaim(record)), revision)
        work.output.askStore(request, work.settings.storeTimeout) { answer, at ->
            takenOver(upstream, record, answer, at)
        }
    }

    private fun takenOver(upstream: UpstreamRecord, record: ClaimRecord, answer: StoreAnswer, now: Moment) {
        if (context.over) return
        when (answer) {
            is StoreAnswer.Written -> {
                context.record(EventKind.CLAIM_TAKEN_OVER, upstream.name)
                start(upstream, record, answer.revision, now)
            }
            is StoreAnswer.Conflict -> lostTakeOver(upstream, record, answer.current.firstOrNull(), now)
            else -> readBack(upstream, record, now)
        }
    }

    private fun lostTakeOver(upstream: UpstreamRecord, record: ClaimRecord, current: StoredEntry?, now: Moment) {
        when {
            current == null -> refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "the claim expired")
            current.value == encodeClaim(record) -> start(upstream, record, current.revision, now)
            else -> resolve(current, now)
        }
    }

    private fun readBack(upstream: UpstreamRecord, record: ClaimRecord, now: Moment) {
        storeTries++
        if (storeTries >= MAX_STORE_TRIES || now + work.settings.storeTimeout >= due) {
            refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "this submission was not sent")
            return
        }
        work.output.askStore(StoreRequest.Read(storeKey), work.settings.storeTimeout) { answer, at ->
            if (!context.over) {
                val found = (answer as? StoreAnswer.Found)?.entries
                if (found ==
                    null
                ) {
                    readBack(upstream, record, at)
                } else {
                    lostTakeOver(upstream, record, found.firstOrNull(), at)
                }
            }
        }
    }

    /** The companion refused: under this number the key did not start and never will. */
    private fun notStarted(attempt: Attempt, fault: Fault, retryAfter: Duration, now: Moment) {
        val started = state as? ActionState.Started
        if (context.over || started == null) return
        excluded += attempt.upstream.name
        when {
            fault.cause == FaultCause.FENCED -> readCurrent(now)
            now < due && work.retries.take() -> {
                context.record(EventKind.ATTEMPT_RETRIED, detail = fault.toString())
                takeOver(started.record, started.revision, now)
            }
            else -> {
                val reason = if (now < due) RefusalReason.OVERLOADED else RefusalReason.DEADLINE
                release(started.record, started.revision, reason, "the action was not started", fault, retryAfter)
            }
        }
    }

    /** Another submission took the key over: learn from the key-value service whose it is now. */
    private fun readCurrent(now: Moment) {
        state = ActionState.Claiming
        storeTries++
        if (storeTries > MAX_STORE_TRIES || now >= due) {
            refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "another submission took the key over")
            return
        }
        work.output.askStore(StoreRequest.Read(storeKey), work.settings.storeTimeout) { answer, at ->
            if (!context.over) {
                val entry = (answer as? StoreAnswer.Found)?.entries?.firstOrNull()
                if (entry == null) readCurrent(at) else resolve(entry, at)
            }
        }
    }

    private fun broken(attempt: Attempt, message: PeerMessage.AttemptFailed, now: Moment) {
        if (context.over) return
        context.record(EventKind.ATTEMPT_FAILED, attempt.upstream.name, message.fault.toString())
        when (message.execution) {
            Execution.NOT_RUN -> notStarted(attempt, message.fault, DEFAULT_RETRY_AFTER, now)
            Execution.RAN, Execution.UNKNOWN ->
                unknown("the call broke off after it was sent", attempt.upstream.entry.host, message.fault)
        }
    }

    private fun expire(now: Moment) {
        if (context.over) return
        when (val current = state) {
            is ActionState.Started -> voidStarted(current, now)
            is ActionState.Following -> inProgress(current.record.host)
            else -> refuse(RefusalReason.STORE_UNAVAILABLE, Execution.UNKNOWN, "this submission did not run")
        }
    }

    private fun voidStarted(current: ActionState.Started, now: Moment) {
        val link = work.links.up(current.record.host)?.takeIf { it.incarnation == current.record.incarnation }
        if (link == null) {
            unknown("the companion is not connected", current.record.host)
            return
        }
        current.attempt?.let { work.attempts.end(it) }
        state = ActionState.Voiding(current.record, current.revision)
        work.links.send(link, PeerMessage.VoidClaim(storeKey, current.record.number))
        timer = work.timers.at(now + work.settings.voidTimeout) {
            unknown("the companion did not answer", current.record.host)
        }
    }

    private fun unknown(detail: String, host: HostName?, fault: Fault? = null) {
        if (context.over) return
        context.record(EventKind.CLAIM_UNKNOWN, detail = detail)
        val ran = !state.isFollowing
        val named = fault ?: Fault(Step.PLAIN_CALL, host?.text.orEmpty(), FaultCause.CONNECTION_LOST, detail)
        refuse(RefusalReason.UPSTREAM_FAILED, Execution.UNKNOWN, detail, named, submissionRan = ran)
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
        val named = fault ?: host?.let { Fault(Step.CLAIM, it.text, FaultCause.TIMEOUT, detail) }
        give(Outcome.Refused(reason, execution, submissionRan, work.spread(retryAfter), named, detail))
    }

    private fun give(outcome: Outcome) {
        if (context.over) return
        timer?.cancel()
        (state as? ActionState.Started)?.attempt?.let { work.attempts.end(it) }
        state = ActionState.Over
        if (outcome is Outcome.Answered) work.retries.succeeded()
        context.give(outcome)
    }

    private companion object {
        const val MAX_STORE_TRIES = 3
        const val CRASHED_DETAIL = "the companion that held the claim restarted"
        val FOLLOW_PATIENCE = 50.milliseconds
    }
}
