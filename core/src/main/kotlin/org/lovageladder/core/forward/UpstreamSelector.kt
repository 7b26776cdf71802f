package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.PlaceName
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.capacity.CapacityChoice
import org.lovageladder.core.forward.capacity.CapacityEstimates
import org.lovageladder.core.forward.capacity.ChoiceCandidate
import org.lovageladder.core.forward.capacity.ObservedUpstream
import org.lovageladder.core.forward.capacity.UpstreamPool
import kotlin.random.Random

/**
 * Ranks upstreams by the calls that this process has there, the load that they report, their failures and their data
 * centre, and by their learned capacity unless [capacity] is null. Confined to one thread.
 */
internal class UpstreamSelector(
    private val membership: Membership,
    private val notices: UpstreamNotices,
    private val requestLimits: RequestLimits,
    private val place: PlaceName,
    private val random: Random,
    private val disabledMechanisms: Set<Mechanism> = emptySet(),
    val capacity: CapacityEstimates? = null,
    private val bodies: BodiesInFlight? = null,
) {
    private val capacityChoice = CapacityChoice(random)
    private val health = HashMap<UpstreamName, UpstreamHealth>()

    fun health(name: UpstreamName): UpstreamHealth = health.getOrPut(name) { UpstreamHealth() }

    /**
     * Upstreams of [service] with [role] that may get a call now, the best first; those in [avoided] come last. An
     * upstream that is leaving is included only when there is no other, an ejected one only when all are ejected.
     */
    fun candidates(
        service: ServiceName,
        role: PoolRole,
        now: Moment,
        avoided: Set<UpstreamName> = emptySet(),
        extraCost: (UpstreamRegistration) -> Double = { 0.0 },
    ): List<UpstreamRegistration> {
        val accepting = membership.serving(service, now).filter {
            it.role == role && notices.admits(it.incarnation, now) && requestLimits.admits(it, now)
        }
        val upstreams = accepting.filterNot { notices.isLeaving(it.incarnation) }.ifEmpty { accepting }
        val notEjected = upstreams.filter { Mechanism.EJECTION in disabledMechanisms || health(it.name).admits(now) }
        return notEjected
            .ifEmpty { upstreams }
            .map { rank(it, it.name in avoided, extraCost(it), now) }
            .let { if (capacity == null) sortByCost(it) else sortByCapacity(it) }
            .map(RankedUpstream::upstream)
    }

    private fun sortByCost(upstreams: List<RankedUpstream>): List<RankedUpstream> =
        upstreams.sortedWith(compareBy(RankedUpstream::isAvoided, RankedUpstream::cost))

    private fun sortByCapacity(upstreams: List<RankedUpstream>): List<RankedUpstream> {
        val (avoided, others) = upstreams.partition { it.isAvoided }
        return capacityChoice.order(others) + capacityChoice.order(avoided)
    }

    /** Upstream [name] now, for a measurement; null when capacities are not learned or it is not registered. */
    fun observe(name: UpstreamName, now: Moment): ObservedUpstream? {
        val upstream = membership[name]?.takeIf { capacity != null } ?: return null
        val health = health(name)
        val load = health.load(now)
        val concurrency = maxOf(load?.let { it.runningRequests + it.waitingRequests } ?: 0, health.inFlight)
        val pool = UpstreamPool(upstream.service, upstream.role)
        return ObservedUpstream(name, pool, concurrency, upstream.slots, load?.slowdownFactor)
    }

    /** Records the events that a stream with [summary] received from [engine], which fetched [prefillResult]. */
    fun recordProgress(engine: UpstreamName, summary: StreamSummary, prefillResult: PrefillResult?, now: Moment) {
        val observed = observe(engine, now) ?: return
        val progress = summary.takeProgress(now) ?: return
        if (progress.isFirst) {
            capacity?.recordFirstEvent(observed, isPrefilled = prefillResult != null, progress.time, now)
        } else {
            capacity?.recordPause(observed, progress.events, progress.time, now)
        }
    }

    /** Concurrent calls that this process may have at [upstream], of the [maximum] at one of usual capacity. */
    fun callLimit(upstream: UpstreamRegistration, maximum: Int, now: Moment): Int {
        val share = capacity?.usableShare(upstream.name, now) ?: return maximum
        return (maximum * share).toInt().coerceAtLeast(minOf(maximum, 1))
    }

    /** Whether the body of [request] may be sent to [upstream] now. Records when it may not. */
    fun hasRoom(upstream: UpstreamName, request: ForwardRequest, now: Moment): Boolean {
        if (bodies == null || bodies.hasRoom(upstream, request)) return true
        bodies.recordFull(upstream, request, now)
        return false
    }

    /**
     * When the first upstream of [service] with [role] that accepts no call now, because it asked for a pause or named
     * a limit, accepts one again; null when there is no such upstream.
     */
    fun earliestAdmission(service: ServiceName, role: PoolRole, now: Moment): Moment? = membership
        .serving(service, now)
        .filter { it.role == role }
        .mapNotNull { admissionAt(it, now) }
        .minOrNull()

    private fun admissionAt(upstream: UpstreamRegistration, now: Moment): Moment? {
        val pauseEnd = notices.pausedUntil(upstream.incarnation, now)
        val nextPermit = requestLimits.nextPermitAt(upstream, now)
        return listOfNotNull(pauseEnd, nextPermit).maxOrNull()
    }

    /** Drops the state of upstreams that are not registered any more and have no calls in progress. */
    fun removeUnregistered() {
        bodies?.removeUnregistered { membership[it] != null }
        health.keys.retainAll { membership[it] != null || health.getValue(it).inFlight > 0 }
        capacity?.removeUnregistered { membership[it] != null }
    }

    private fun rank(
        upstream: UpstreamRegistration,
        isAvoided: Boolean,
        extraCost: Double,
        now: Moment,
    ): RankedUpstream {
        val factor = capacity?.costFactor(upstream.name, now) ?: 1.0
        val share = capacity?.usableShare(upstream.name, now) ?: 1.0
        val isNear = upstream.place == place || Mechanism.NEARNESS in disabledMechanisms
        val cost =
            cost(upstream, factor, share, now) + extraCost * factor / share + if (isNear) 0.0 else OTHER_PLACE_COST
        return RankedUpstream(upstream, isAvoided, cost, factor, isNear)
    }

    private fun cost(upstream: UpstreamRegistration, factor: Double, share: Double, now: Moment): Double {
        val health = health(upstream.name)
        val load = health.load(now).takeUnless { Mechanism.LOAD_REPORTS in disabledMechanisms }
        val slots = if (upstream.role == PoolRole.PREFILL) PREFILL_SLOTS else upstream.slots.coerceAtLeast(1).toDouble()
        val reportedLoad = load?.let { (it.runningRequests + it.waitingRequests) / slots } ?: 0.0
        val ownLoad = health.inFlight / slots
        val totalLoad = (maxOf(reportedLoad, ownLoad) + ownLoad / OWN_LOAD_DIVISOR) / share
        val slowdownFactor = load?.slowdownFactor?.let { maxOf(it, factor) } ?: factor
        return (BASE_COST + totalLoad) * slowdownFactor * (1 + FAILURE_COST * health.failureShare(now)) +
            random.nextDouble() * TIE_BREAK_COST
    }

    private class RankedUpstream(
        val upstream: UpstreamRegistration,
        val isAvoided: Boolean,
        override val cost: Double,
        override val factor: Double,
        override val isNear: Boolean,
    ) : ChoiceCandidate

    private companion object {
        /** A prefill engine processes one prompt after the other, whatever its slots. */
        const val PREFILL_SLOTS = 1.0
        const val BASE_COST = 0.5
        const val OWN_LOAD_DIVISOR = 2.0
        const val FAILURE_COST = 4.0
        const val OTHER_PLACE_COST = 0.2
        const val TIE_BREAK_COST = 0.02
    }
}
