package org.lovageladder.core.forward.memory

import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.Cancellable
import org.lovageladder.core.forward.EngineAnswer
import org.lovageladder.core.forward.EngineConfiguration
import org.lovageladder.core.forward.ForwardContext
import org.lovageladder.core.forward.Mechanism
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.UpstreamRegistration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Requests of one service that wait for decode memory. The engines do the accounting: memory is reserved at one of
 * them, so that all entries together cannot overcommit it. Requests are served in order of priority, then arrival, as
 * long as they can meet their target; one that cannot is refused at once. A request that comes while none waits is
 * always tried, since only streams that begin can correct the estimate of how long a start takes.
 *
 * [onGranted] is told of each grant before the request.
 *
 * Load pattern: a load peak with more prompts than decode memory holds, for some seconds. Confined to one thread.
 */
internal class MemoryQueue(
    private val context: ForwardContext,
    private val service: ServiceName,
    private val engineConfiguration: () -> EngineConfiguration?,
    private val onGranted: (MemoryRequest, MemoryGrant) -> Unit = { _, _ -> },
) : DecodeMemory {
    private val waitingRequests = ArrayList<MemoryRequest>()
    private val heldTokens = HashMap<UpstreamName, Int>()
    private val fullUntil = HashMap<UpstreamName, Moment>()
    private val lastRefusedAt = HashMap<UpstreamName, Moment>()
    private val reservingEngines = HashSet<UpstreamName>()
    private var nextRun: Cancellable? = null
    private var grantInterval = Duration.ZERO
    private var lastGrantAt: Moment? = null

    override fun enqueue(request: MemoryRequest) {
        val now = context.now()
        if (context.isEnabled(Mechanism.WAIT_ESTIMATE) && now + expectedWait(request, now) > request.grantDeadline) {
            request.onRefused(RefusalReason.OVERLOADED, null)
            return
        }
        request.queuedAt = now
        insert(request)
        if (waitingRequests.size == 1) serve(request, now)
        serveWaiting()
    }

    override fun cancel(request: MemoryRequest) {
        request.isCancelled = true
        waitingRequests.remove(request)
    }

    override fun onFreed(grant: MemoryGrant) {
        heldTokens.merge(grant.engine.name, -grant.tokens, Int::plus)
        onFreedAt(grant.engine.name)
    }

    /** Memory at engine [name] is free that this queue did not grant. */
    fun onFreedAt(name: UpstreamName) {
        fullUntil.remove(name)
        serveWaiting()
    }

    override fun removeUnregistered() {
        fullUntil.keys.retainAll { context.membership[it] != null }
        lastRefusedAt.keys.retainAll { context.membership[it] != null }
        heldTokens.entries.removeIf { (name, tokens) -> tokens == 0 && context.membership[name] == null }
    }

    override val trackedEngines: Int get() = (fullUntil.keys + heldTokens.keys).size

    override fun state(): DecodeMemoryState = DecodeMemoryState(
        heldTokens = heldTokens.values.sum(),
        waitingRequests = waitingRequests.size,
        fullEngines = countFullEngines(),
    )

    private fun countFullEngines(): Int {
        val now = context.now()
        return fullUntil.values.count { it > now }
    }

    /**
     * Whether there is memory pressure: requests wait, or at least half of the engines refused memory lately. Memory
     * that a request gets now is memory that another one lacks.
     */
    override fun isUnderMemoryPressure(): Boolean =
        waitingRequests.isNotEmpty() || areEnginesUnderPressure(context.now())

    private fun areEnginesUnderPressure(now: Moment): Boolean {
        val recentlyRefused = lastRefusedAt.values.count { now - it < MEMORY_PRESSURE_WINDOW }
        if (recentlyRefused == 0) return false
        val engines = context.membership.serving(service, now).count { it.role == PoolRole.DECODE }
        return recentlyRefused * 2 >= engines
    }

    override fun heldTokensAt(name: UpstreamName): Int = heldTokens[name] ?: 0

    /**
     * Expected wait of [request], from the rate at which memory was granted while requests waited; zero when none
     * waits ahead of it.
     */
    private fun expectedWait(request: MemoryRequest, now: Moment): Duration {
        val requestsAhead = waitingRequests.count { it.priority <= request.priority }
        if (requestsAhead == 0) return Duration.ZERO
        return maxOf(grantInterval, waitSinceLastGrant(now)) * (requestsAhead + 1)
    }

    /**
     * Time since the last grant in which some request waited. Time without a waiting request says nothing about the
     * engines.
     */
    private fun waitSinceLastGrant(now: Moment): Duration {
        val waitingSince = waitingRequests.minOfOrNull { it.queuedAt } ?: return Duration.ZERO
        return now - maxOf(waitingSince, lastGrantAt ?: waitingSince)
    }

    private fun insert(request: MemoryRequest) {
        val index = waitingRequests.indexOfFirst { it.priority > request.priority || it.isOrderedAfter(request) }
        if (index < 0) waitingRequests.add(request) else waitingRequests.add(index, request)
    }

    private fun MemoryRequest.isOrderedAfter(other: MemoryRequest) =
        priority == other.priority && arrivedAt > other.arrivedAt

    private fun serveWaiting() {
        val now = context.now()
        refuseExpired(now)
        var hasProgress = true
        while (hasProgress && waitingRequests.isNotEmpty()) {
            hasProgress = serve(waitingRequests.first(), now)
        }
        scheduleNextRun(now)
    }

    /** Tries to reserve memory for [request], or refuses it. Returns false when it has to keep waiting. */
    private fun serve(request: MemoryRequest, now: Moment): Boolean {
        val available = findEngines(request, now)
        if (available == null) {
            val admissionAt = earliestAdmission(now)
            if (admissionAt != null && admissionAt < request.grantDeadline) return false
            waitingRequests.remove(request)
            request.onRefused(if (admissionAt == null) RefusalReason.NO_UPSTREAM else RefusalReason.OVERLOADED, null)
            return true
        }
        val chosen = available.firstOrNull() ?: return false
        waitingRequests.remove(request)
        reserve(request, chosen)
        return true
    }

    /** Engines that may have memory for [request], the best first; null when there is no engine at all. */
    private fun findEngines(request: MemoryRequest, now: Moment): List<UpstreamRegistration>? {
        val memory = (engineConfiguration()?.memoryTokens ?: 0).coerceAtLeast(1).toDouble()
        val candidates =
            context.upstreamSelector.candidates(service, PoolRole.DECODE, now, request.avoidedEngines) {
                heldTokensAt(it.name) / memory
            }
        if (candidates.isEmpty()) return null
        return candidates.filter {
            it.name !in reservingEngines && (fullUntil[it.name]?.let { until -> until <= now } ?: true)
        }
    }

    /** When the first engine that asked for a pause or named a limit accepts a call again. */
    private fun earliestAdmission(now: Moment): Moment? =
        context.upstreamSelector.earliestAdmission(service, PoolRole.DECODE, now)

    private fun reserve(request: MemoryRequest, engine: UpstreamRegistration) {
        val reservationTime = engineConfiguration()?.maximumReservationTime ?: DEFAULT_RESERVATION_TIME
        reservingEngines += engine.name
        heldTokens.merge(engine.name, request.tokens, Int::plus)
        val requestedAt = context.now()
        context.upstreamPort.reserve(engine.incarnation, request.tokens, reservationTime) { answer ->
            reservingEngines -= engine.name
            onReservationAnswer(request, engine, requestedAt, answer)
            serveWaiting()
        }
    }

    private fun onReservationAnswer(
        request: MemoryRequest,
        engine: UpstreamRegistration,
        requestedAt: Moment,
        answer: EngineAnswer<Reservation>,
    ) {
        val now = context.now()
        if (answer is EngineAnswer.Done) {
            grant(request, MemoryGrant(engine, request.tokens, answer.value, requestedAt), now)
            return
        }
        heldTokens.merge(engine.name, -request.tokens, Int::plus)
        when (answer) {
            is EngineAnswer.Done -> Unit
            is EngineAnswer.Refused -> {
                if (answer.isWrongInstance) context.removeReplaced(engine.name, request.id)
                fullUntil[engine.name] = now + FULL_ENGINE_RECHECK_DELAY
                lastRefusedAt[engine.name] = now
            }
            is EngineAnswer.Failed -> {
                context.recordFailure(engine.name, request.id, "reserve", answer.failure)
                fullUntil[engine.name] = now + FULL_ENGINE_RECHECK_DELAY
            }
        }
        if (!request.isCancelled) insert(request)
    }

    private fun grant(request: MemoryRequest, grant: MemoryGrant, now: Moment) {
        if (request.isCancelled) {
            context.release(grant)
            onFreed(grant)
            return
        }
        val interval = if (waitingRequests.isEmpty()) Duration.ZERO else waitSinceLastGrant(now)
        grantInterval = grantInterval * (1 - SMOOTHING_FACTOR) + interval * SMOOTHING_FACTOR
        lastGrantAt = now
        onGranted(request, grant)
        request.onGranted(grant)
    }

    private fun refuseExpired(now: Moment) {
        val expired = waitingRequests.filter { it.grantDeadline <= now }
        waitingRequests.removeAll(expired.toSet())
        expired.forEach { it.onRefused(RefusalReason.OVERLOADED, null) }
    }

    private fun scheduleNextRun(now: Moment) {
        nextRun?.cancel()
        nextRun = null
        if (waitingRequests.isEmpty()) return
        val nextDeadline = waitingRequests.minOf { it.grantDeadline }
        val recheckAt = fullUntil.values.filter { it > now }.minOrNull() ?: nextDeadline
        val runAt = minOf(nextDeadline, recheckAt, earliestAdmission(now) ?: nextDeadline)
        nextRun = context.scheduler.schedule((runAt - now).coerceAtLeast(MINIMUM_RUN_DELAY)) { serveWaiting() }
    }

    private companion object {
        val DEFAULT_RESERVATION_TIME: Duration = 1_000.milliseconds

        /** A full engine is asked again after this delay, or earlier when a request of this process ends there. */
        val FULL_ENGINE_RECHECK_DELAY: Duration = 40.milliseconds

        /** Time for which an engine that refused memory counts towards memory pressure. */
        val MEMORY_PRESSURE_WINDOW: Duration = 500.milliseconds
        val MINIMUM_RUN_DELAY: Duration = 1.milliseconds
        const val SMOOTHING_FACTOR = 0.2
    }
}
