package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.RequestId
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request that waits for decode memory. [latest] is when it is no use to it any more. */
internal class MemoryClaim(
    val request: RequestId,
    val tokens: Int,
    val priority: Int,
    val entered: Moment,
    val latest: Moment,
    val avoid: Set<UpstreamName>,
    val granted: (MemoryGrant) -> Unit,
    val refused: (RefusalReason) -> Unit,
) {
    var cancelled = false

    /** When it began to wait. */
    var queuedAt: Moment = entered
}

/** Memory at [engine] that is reserved for a request until it is used or released. */
internal data class MemoryGrant(val engine: Member, val tokens: Int, val reservation: Reservation)

/** What one process has of a service's decode memory: its tokens, requests that wait, and engines that are full. */
internal data class PoolState(val heldTokens: Int, val waiting: Int, val fullEngines: Int)

/**
 * Requests of one service that wait for decode memory. The engines keep the account: each claim is a reservation at
 * one of them, so that all entries together cannot overcommit its memory. Claims are served in order of priority, then
 * arrival, while they can still meet their target; one that cannot is refused at once. Answers the load pattern of a
 * crest: more prompts than decode memory holds, for some seconds. Confined to one thread.
 */
internal class MemoryQueue(
    private val context: ForwardContext,
    private val service: ServiceName,
    private val engine: () -> EngineTraits?,
) {
    private val waiting = ArrayList<MemoryClaim>()
    private val held = HashMap<UpstreamName, Int>()
    private val fullUntil = HashMap<UpstreamName, Moment>()
    private val refusedAt = HashMap<UpstreamName, Moment>()
    private val asking = HashSet<UpstreamName>()
    private var wake: RunningCall? = null
    private var grantInterval = Duration.ZERO
    private var lastGrant: Moment? = null

    /** Serves [claim] as soon as memory is free, or refuses it. */
    fun enter(claim: MemoryClaim) {
        val now = context.now()
        if (context.uses(Mechanism.WAIT_ESTIMATE) && now + expectedWait(claim, now) > claim.latest) {
            claim.refused(RefusalReason.OVERLOADED)
            return
        }
        claim.queuedAt = now
        insert(claim)
        pump()
    }

    /** Takes [claim] back. */
    fun leave(claim: MemoryClaim) {
        claim.cancelled = true
        waiting.remove(claim)
    }

    /** The memory of [grant] is free again. */
    fun freed(grant: MemoryGrant) {
        held.merge(grant.engine.name, -grant.tokens, Int::plus)
        fullUntil.remove(grant.engine.name)
        pump()
    }

    /** Forgets engines that are not registered any more and at which this process holds nothing. */
    fun forgetMissing() {
        fullUntil.keys.retainAll { context.membership[it] != null }
        refusedAt.keys.retainAll { context.membership[it] != null }
        held.entries.removeIf { (name, tokens) -> tokens == 0 && context.membership[name] == null }
    }

    /** Engines of which something is remembered. */
    val remembered: Int get() = (fullUntil.keys + held.keys).size

    /** What this process knows of the engines' memory now. */
    fun state() = PoolState(heldTokens = held.values.sum(), waiting = waiting.size, fullEngines = enginesFull())

    private fun enginesFull(): Int {
        val now = context.now()
        return fullUntil.values.count { it > now }
    }

    /** Whether requests wait or half of the engines refused memory of late: whoever gets memory takes another's. */
    fun isCrowded(): Boolean = waiting.isNotEmpty() || areEnginesShort(context.now())

    private fun areEnginesShort(now: Moment): Boolean {
        val short = refusedAt.values.count { now - it < SHORT_LASTING }
        if (short == 0) return false
        val engines = context.membership.serving(service, now).count { it.role == PoolRole.DECODE }
        return short * 2 >= engines
    }

    /** Tokens that this process holds at [name]. */
    fun heldAt(name: UpstreamName): Int = held[name] ?: 0

    /** Wait of [claim] by the pace at which memory was granted while others waited; nothing when none wait. */
    private fun expectedWait(claim: MemoryClaim, now: Moment): Duration {
        val ahead = waiting.count { it.priority <= claim.priority }
        if (ahead == 0) return Duration.ZERO
        return maxOf(grantInterval, waitForNextGrant(now)) * (ahead + 1)
    }

    /** How long some claim has waited since the last grant; time in which none waited says nothing of the engines. */
    private fun waitForNextGrant(now: Moment): Duration {
        val since = waiting.minOfOrNull { it.queuedAt } ?: return Duration.ZERO
        return now - maxOf(since, lastGrant ?: since)
    }

    private fun insert(claim: MemoryClaim) {
        val position = waiting.indexOfFirst { it.priority > claim.priority || it.orderedAfter(claim) }
        if (position < 0) waiting.add(claim) else waiting.add(position, claim)
    }

    private fun MemoryClaim.orderedAfter(other: MemoryClaim) = priority == other.priority && entered > other.entered

    private fun pump() {
        val now = context.now()
        refuseExpired(now)
        var served = true
        while (served && waiting.isNotEmpty()) {
            served = serve(waiting.first(), now)
        }
        scheduleWake(now)
    }

    /** Asks an engine for the memory of [claim], or refuses it; false when it has to go on waiting. */
    private fun serve(claim: MemoryClaim, now: Moment): Boolean {
        val free = enginesFor(claim, now)
        if (free == null) {
            val pauseEnd = pauseEnd(now)
            if (pauseEnd != null && pauseEnd < claim.latest) return false
            waiting.remove(claim)
            claim.refused(if (pauseEnd == null) RefusalReason.NO_UPSTREAM else RefusalReason.OVERLOADED)
            return true
        }
        val chosen = free.firstOrNull() ?: return false
        waiting.remove(claim)
        ask(claim, chosen)
        return true
    }

    /** Engines that may have room for [claim], the best first; null when there is no engine at all. */
    private fun enginesFor(claim: MemoryClaim, now: Moment): List<Member>? {
        val memory = (engine()?.memoryTokens ?: 0).coerceAtLeast(1).toDouble()
        val all = context.board.candidates(service, PoolRole.DECODE, now, claim.avoid) { heldAt(it.name) / memory }
        if (all.isEmpty()) return null
        return all.filter { it.name !in asking && (fullUntil[it.name]?.let { until -> until <= now } ?: true) }
    }

    /** When the first engine that asked for a pause takes calls again. */
    private fun pauseEnd(now: Moment): Moment? = context.board.firstPauseEnd(service, PoolRole.DECODE, now)

    private fun ask(claim: MemoryClaim, member: Member) {
        val keep = engine()?.reservationLimit ?: DEFAULT_KEEP
        asking += member.name
        held.merge(member.name, claim.tokens, Int::plus)
        context.calls.reserve(member.start, claim.tokens, keep) { answer ->
            asking -= member.name
            answered(claim, member, answer)
            pump()
        }
    }

    private fun answered(claim: MemoryClaim, member: Member, answer: EngineAnswer<Reservation>) {
        val now = context.now()
        if (answer is EngineAnswer.Done) {
            grant(claim, MemoryGrant(member, claim.tokens, answer.value), now)
            return
        }
        held.merge(member.name, -claim.tokens, Int::plus)
        when (answer) {
            is EngineAnswer.Done -> Unit
            is EngineAnswer.Refused -> {
                if (answer.wrongInstance) context.replaced(member.name, claim.request)
                fullUntil[member.name] = now + RECHECK
                refusedAt[member.name] = now
            }
            is EngineAnswer.Failed -> {
                context.failed(member.name, claim.request, "reserve", answer.failure)
                fullUntil[member.name] = now + RECHECK
            }
        }
        if (!claim.cancelled) insert(claim)
    }

    private fun grant(claim: MemoryClaim, grant: MemoryGrant, now: Moment) {
        if (claim.cancelled) {
            context.release(grant.engine, grant.reservation)
            freed(grant)
            return
        }
        val sample = if (waiting.isEmpty()) Duration.ZERO else waitForNextGrant(now)
        grantInterval = grantInterval * (1 - INTERVAL_WEIGHT) + sample * INTERVAL_WEIGHT
        lastGrant = now
        claim.granted(grant)
    }

    private fun refuseExpired(now: Moment) {
        val expired = waiting.filter { it.latest <= now }
        waiting.removeAll(expired.toSet())
        expired.forEach { it.refused(RefusalReason.OVERLOADED) }
    }

    private fun scheduleWake(now: Moment) {
        wake?.cancel()
        wake = null
        if (waiting.isEmpty()) return
        val expiry = waiting.minOf { it.latest }
        val recheck = fullUntil.values.filter { it > now }.minOrNull() ?: expiry
        val due = minOf(expiry, recheck, pauseEnd(now) ?: expiry)
        wake = context.scheduler.after((due - now).coerceAtLeast(LEAST_PAUSE)) { pump() }
    }

    private companion object {
        val DEFAULT_KEEP: Duration = 1_000.milliseconds

        /** Pause before an engine that was full is asked again, unless a request of this process ends there. */
        val RECHECK: Duration = 40.milliseconds

        /** How long an engine that refused memory counts as short of it. */
        val SHORT_LASTING: Duration = 500.milliseconds
        val LEAST_PAUSE: Duration = 1.milliseconds
        const val INTERVAL_WEIGHT = 0.2
    }
}
