package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.PlaceName
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.random.Random

/**
 * Chooses upstreams by the calls that this process has there, the load they tell, their failures and their place.
 * Confined to one thread.
 */
internal class UpstreamBoard(
    private val membership: Membership,
    private val notices: UpstreamNotices,
    private val place: PlaceName,
    private val random: Random,
    private val without: Set<Mechanism> = emptySet(),
) {
    private val health = HashMap<UpstreamName, UpstreamHealth>()

    fun health(name: UpstreamName): UpstreamHealth = health.getOrPut(name) { UpstreamHealth() }

    /**
     * Upstreams of [service] with [role] that may get a call now, the best first; those in [avoid] come last. One that
     * is leaving is among them only when there is no other.
     */
    fun candidates(
        service: ServiceName,
        role: PoolRole,
        now: Moment,
        avoid: Set<UpstreamName> = emptySet(),
        extraCost: (Member) -> Double = { 0.0 },
    ): List<Member> {
        val open = membership.serving(service, now).filter { it.role == role && notices.admits(it.start, now) }
        val members = open.filterNot { notices.isLeaving(it.start) }.ifEmpty { open }
        val admitted = members.filter { Mechanism.EJECTION in without || health(it.name).admits(now) }
        return admitted
            .ifEmpty { members }
            .map { Ranked(it, it.name in avoid, cost(it, now) + extraCost(it)) }
            .sortedWith(compareBy(Ranked::avoided, Ranked::cost))
            .map(Ranked::member)
    }

    /** When the first pause ends of those that upstreams of [service] with [role] asked for; null without any. */
    fun firstPauseEnd(service: ServiceName, role: PoolRole, now: Moment): Moment? = membership
        .serving(service, now)
        .filter { it.role == role }
        .mapNotNull { notices.pausedUntil(it.start, now) }
        .minOrNull()

    /** Forgets upstreams that are not registered any more. */
    fun forgetMissing() {
        health.keys.retainAll { membership[it] != null || health.getValue(it).inFlight > 0 }
    }

    private fun cost(member: Member, now: Moment): Double {
        val health = health(member.name)
        val load = health.load(now).takeUnless { Mechanism.LOAD_REPORTS in without }
        val slots = if (member.role == PoolRole.PREFILL) PROMPTS_AT_ONCE else member.slots.coerceAtLeast(1).toDouble()
        val told = load?.let { (it.running + it.waiting) / slots } ?: 0.0
        val own = health.inFlight / slots
        val busy = maxOf(told, own) + own / OWN_SHARE
        val slowdown = load?.slowdown ?: 1.0
        val distance = if (member.place == place || Mechanism.NEARNESS in without) 0.0 else PLACE_COST
        return (BASE_COST + busy) * slowdown * (1 + FAILURE_COST * health.failureShare) + distance +
            random.nextDouble() * TIE_BREAK
    }

    private data class Ranked(val member: Member, val avoided: Boolean, val cost: Double)

    private companion object {
        /** A prefill engine reads one prompt after the other, whatever its slots. */
        const val PROMPTS_AT_ONCE = 1.0
        const val BASE_COST = 0.5
        const val OWN_SHARE = 2.0
        const val FAILURE_COST = 4.0
        const val PLACE_COST = 0.2
        const val TIE_BREAK = 0.02
    }
}
