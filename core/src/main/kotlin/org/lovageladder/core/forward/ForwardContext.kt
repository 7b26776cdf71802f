package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.customer.KeyCheck
import org.lovageladder.core.forward.memory.MemoryGrant
import org.lovageladder.core.forward.messaging.EntryMessagePort
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Dependencies and common operations of all request flows. */
internal class ForwardContext(
    val upstreamPort: UpstreamPort,
    val scheduler: Scheduler,
    val upstreamSelector: UpstreamSelector,
    val membership: Membership,
    val notices: UpstreamNotices,
    val requestLimits: RequestLimits,
    val promptGuard: PromptGuard,
    val answerBuffers: AnswerBufferPool,
    val retryBudget: RetryBudget,
    val eventSink: EventSink,
    val random: Random,
    private val disabledMechanisms: Set<Mechanism> = emptySet(),
    val messages: EntryMessagePort = EntryMessagePort { _, _ -> },
) {
    val survivalCheck: SurvivalCheck =
        SurvivalCheck(upstreamPort, scheduler, notices, requestLimits, eventSink, membership::hasEnded)

    val keyCheck: KeyCheck = KeyCheck()

    /** The shutdown phase; null while the process is not told to stop. */
    var drain: Drain? = null

    /** Whether a request of [route] with [deadline] may be sent to an upstream although the process may be stopping. */
    fun maySend(route: Route, deadline: Moment): Boolean = drain?.maySend(route, deadline, now()) ?: true

    /** Whether [mechanism] is switched on. */
    fun isEnabled(mechanism: Mechanism): Boolean = mechanism !in disabledMechanisms

    fun now(): Moment = scheduler.now()

    fun record(kind: EventKind, request: RequestId? = null, upstream: UpstreamName? = null, detail: String) {
        eventSink.record(EventDraft(kind, request = request, upstream = upstream, detail = detail))
    }

    /**
     * Time after which a refused caller should return: at least [minimum], spread randomly so that callers do not
     * return at the same moment, and limited by the [remaining] time of the caller.
     */
    fun returnDelay(minimum: Duration, remaining: Duration): Duration {
        val spread = minimum * (1 + random.nextDouble())
        return spread.coerceAtMost(remaining / RETURN_DELAY_DIVISOR).coerceAtLeast(MINIMUM_RETURN_DELAY)
    }

    /**
     * Checks the key of [request], accepted for [route], before a further call. Returns why the call may not be sent,
     * null if it may.
     */
    fun recheckKey(request: ForwardRequest, route: Route): RefusalReason? {
        val reason = keyCheck.check(request, route) ?: return null
        keyCheck.countRefusal()
        val detail = "customer=${request.customer?.name ?: "none"} route=${route.name} $reason before a call"
        record(EventKind.KEY_REVOKED, request.id, detail = detail)
        return reason
    }

    /** Watches the decode of [request] at [engine]. */
    fun watchPrompt(request: ForwardRequest, engine: UpstreamIncarnation): PromptWatch =
        PromptWatch(promptGuard, request, engine.start, ::now)

    /** Decides whether [request] may be sent although requests like it crash upstreams. */
    fun quarantineAdmission(request: ForwardRequest): QuarantineAdmission =
        QuarantineAdmission(promptGuard, request, ::now)

    /**
     * Whether the engine of [grant] accepts the request for which it reserved memory. All that may have changed since
     * the reservation is looked at here, at the moment of sending.
     */
    fun admitsReserved(grant: MemoryGrant): Boolean = membership.admitsDecided(grant.engine, now()) &&
        notices.admitsReserved(grant.engine.incarnation, now()) &&
        requestLimits.admitsReserved(grant.engine.name, grant.requestedAt, now())

    /**
     * Releases the reservation of [grant], which a request [wasSent] to use and which the engine declined, or which was
     * not used. An engine that asked for a pause, or whose limit leaves no room, gets no call; the reservation lapses
     * there.
     */
    fun release(grant: MemoryGrant, wasSent: Boolean = false) {
        val engine = grant.engine
        val isPaused = notices.pausedUntil(engine.incarnation, now()) != null
        if (!isPaused && admitsRelease(grant, wasSent)) {
            upstreamPort.releaseReservation(engine.incarnation, grant.reservation)
        } else {
            record(
                EventKind.RESERVATION_LAPSED,
                upstream = engine.name,
                detail = "not released: $ENGINE_ACCEPTS_NO_CALL",
            )
        }
    }

    private fun admitsRelease(grant: MemoryGrant, wasSent: Boolean): Boolean {
        val name = grant.engine.name
        return if (wasSent) {
            requestLimits.tryTakePermit(name, now())
        } else {
            requestLimits.admitsReserved(name, grant.requestedAt, now())
        }
    }

    /** Frees [result], which no decode fetched, unless its engine accepts no call now; then it expires there. */
    fun free(result: PrefillResult) {
        val engine = result.engine
        if (notices.pausedUntil(engine, now()) == null && requestLimits.hasPermit(engine.name, now())) {
            upstreamPort.freePrefillResult(result)
        } else {
            record(EventKind.PREFILL_WASTED, upstream = engine.name, detail = "not freed: $ENGINE_ACCEPTS_NO_CALL")
        }
    }

    /**
     * Returns [result] unless its engine may have ended since. Its handle could then be one of another prompt, which no
     * engine checks.
     */
    fun unlessLost(result: PrefillResult, request: RequestId): PrefillResult? {
        if (!membership.mayHaveEnded(result.engine)) return result
        record(EventKind.PREFILL_WASTED, request, result.engine.name, detail = "its engine has ended since")
        return null
    }

    /** Removes the upstream [name] after its address answered as another instance. */
    fun removeReplaced(name: UpstreamName, request: RequestId) {
        membership.removeEnded(name)
        record(EventKind.UPSTREAM_REGISTERED, request, name, detail = "removed: another instance uses its address")
    }

    /** Records a failed call of [name] in its health and in the time line; [answer] is what came of its answer. */
    fun recordFailure(
        name: UpstreamName,
        request: RequestId,
        step: String,
        failure: CallFailure,
        answer: AnswerHead? = null,
    ) {
        val health = upstreamSelector.health(name)
        if (failure.sent && failure.cause in BROKEN_ANSWER_CAUSES) {
            health.recordError(now())
        } else {
            health.recordUnreachable(now())
        }
        val place = failure.place ?: answer?.origin?.place ?: "connection=none"
        record(
            EventKind.REQUEST_FAILED,
            request,
            name,
            detail = "$step: ${failure.cause} sent=${failure.sent} $place ${failure.detail}",
        )
    }

    private companion object {
        const val ENGINE_ACCEPTS_NO_CALL = "the engine asked for a pause, or its limit leaves no room"

        /** Keeps the return delay below a third of the time that the caller has left. */
        const val RETURN_DELAY_DIVISOR = 3.2
        val MINIMUM_RETURN_DELAY: Duration = 20.milliseconds
        val BROKEN_ANSWER_CAUSES = setOf(FaultCause.PROTOCOL, FaultCause.CONNECTION_LOST)
    }
}

/** Failure of a successful answer that lacks the proof that the expected upstream produced it. */
internal val UNPROVEN_SUCCESS =
    CallFailure(FaultCause.PROTOCOL, sent = true, detail = "success without proof of origin")

/** Deadlines of a request. [deadline] is when the caller or the route times out, whichever is first. */
internal class RequestDeadlines(request: ForwardRequest, route: Route) {
    val arrivedAt: Moment = request.arrivedAt
    val deadline: Moment = arrivedAt + minOf(request.callerTimeout ?: route.timeout, route.timeout)
    val targetAt: Moment = arrivedAt + route.latencyTarget

    fun remaining(now: Moment): Duration = deadline - now
}

/**
 * The service to which a request is sent, chosen once. [connectionLimit] is the number of connections that this entry
 * may have to each upstream. [healthPath] is where an upstream that is no engine says that it runs.
 */
internal data class Destination(
    val route: Route,
    val service: ServiceName,
    val engine: EngineConfiguration?,
    val connectionLimit: Int,
    val healthPath: String?,
)
