package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What the flows of single requests share. */
internal class ForwardContext(
    val calls: UpstreamCalls,
    val scheduler: Scheduler,
    val board: UpstreamBoard,
    val membership: Membership,
    val notices: UpstreamNotices,
    val answers: AnswerBuffers,
    val budget: RetryBudget,
    val log: EventSink,
    val random: Random,
    private val without: Set<Mechanism> = emptySet(),
) {
    /** Whether decisions use [mechanism]. */
    fun uses(mechanism: Mechanism): Boolean = mechanism !in without

    fun now(): Moment = scheduler.now()

    fun record(kind: EventKind, request: RequestId? = null, upstream: UpstreamName? = null, detail: String) {
        log.record(EventDraft(kind, request = request, upstream = upstream, detail = detail))
    }

    /** Time after which a refused caller should come back: [least], spread so that callers do not return at once. */
    fun returnAfter(least: Duration, remaining: Duration): Duration {
        val spread = least * (1 + random.nextDouble())
        return spread.coerceAtMost(remaining / RETURN_SHARE).coerceAtLeast(RETURN_LEAST)
    }

    /** Gives up [reservation] at [engine], unless that wants no calls now; then the reservation lapses there. */
    fun release(engine: Member, reservation: Reservation) {
        if (notices.pausedUntil(engine.start, now()) == null) {
            calls.release(engine.start, reservation)
        } else {
            record(EventKind.RESERVATION_LAPSED, upstream = engine.name, detail = "left to lapse: the engine pauses")
        }
    }

    /** The upstream [name] said that it is another one now. */
    fun replaced(name: UpstreamName, request: RequestId) {
        membership.drop(name)
        record(EventKind.UPSTREAM_REGISTERED, request, name, detail = "dropped: another instance has its address")
    }

    /** Notes a failed call in the health of [name]. */
    fun failed(name: UpstreamName, request: RequestId, step: String, failure: CallFailure) {
        val health = board.health(name)
        if (failure.sent && failure.cause in DAMAGED) health.erred(now()) else health.unreachable(now())
        record(
            EventKind.REQUEST_FAILED,
            request,
            name,
            detail = "$step: ${failure.cause} sent=${failure.sent} ${failure.detail}",
        )
    }

    private companion object {
        /** Callers come back for up to a third of the time they have left. */
        const val RETURN_SHARE = 3.2
        val RETURN_LEAST: Duration = 20.milliseconds
        val DAMAGED = setOf(FaultCause.PROTOCOL, FaultCause.CONNECTION_LOST)
    }
}

/** An upstream's success came without the proof that the upstream made it. */
internal val UNPROVEN = CallFailure(FaultCause.PROTOCOL, sent = true, detail = "a success without its proof")

/** Time of a request: [end] is when its caller or its route gives up. */
internal class RequestTime(request: ForwardRequest, route: Route) {
    val arrived: Moment = request.arrived
    val end: Moment = arrived + minOf(request.wait ?: route.timeout, route.timeout)
    val target: Moment = arrived + route.target

    fun remaining(now: Moment): Duration = end - now
}

/** The service that a request goes to, chosen once. [connections] is how many this entry may have to each upstream. */
internal data class Destination(
    val route: Route,
    val service: ServiceName,
    val engine: EngineTraits?,
    val connections: Int,
)
