package org.lovageladder.core.forward.memory

import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.customer.CustomerName
import org.lovageladder.core.forward.messaging.MemoryHolding
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What the entries hold of the decode memory of a service, as far as their messages tell. The engines' own accounts
 * decide; a ledger that is wrong makes entries ask an engine in vain, or leaves memory unused until the next list.
 * Confined to one thread.
 */
internal class MemoryLedger {
    private val accounts = HashMap<UpstreamName, EngineAccount>()
    private val grants = HashMap<ProcessName, HashMap<Long, Grant>>()
    private val customerTokens = HashMap<CustomerName?, Int>()
    private val ended = LinkedHashMap<Pair<ProcessName, Long>, Moment>()
    private val heardAt = HashMap<ProcessName, Moment>()
    private val forecast = ReleaseForecast()

    /** Tokens at all engines that entries hold or were offered. */
    var heldTokens: Int = 0
        private set

    /** Number of grants. */
    val size: Int get() = grants.values.sumOf { it.size }

    fun tokensAt(engine: UpstreamName): Int = accounts[engine]?.tokens ?: 0

    fun requestsAt(engine: UpstreamName): Int = accounts[engine]?.requests ?: 0

    /** Tokens held by [customer], or by all requests without a customer when null. */
    fun tokensOf(customer: CustomerName?): Int = customerTokens[customer] ?: 0

    fun contains(entry: ProcessName, id: Long): Boolean = grants[entry]?.containsKey(id) ?: false

    /**
     * Records that [entry] needs or holds nothing under [id] any more. Messages that are late or repeated do not change
     * that.
     */
    fun recordEnd(entry: ProcessName, id: Long, now: Moment) {
        ended.remove(entry to id)
        ended[entry to id] = now
        ended.entries.iterator().let { oldest ->
            while (oldest.hasNext() && now - oldest.next().value > MESSAGE_LIFETIME) oldest.remove()
        }
    }

    /** Whether [entry] needs nothing any more under [id]. */
    fun hasEnded(entry: ProcessName, id: Long): Boolean = entry to id in ended

    /** Records that [entry] holds [holding], or was offered it. */
    fun hold(entry: ProcessName, holding: MemoryHolding, now: Moment) {
        if (hasEnded(entry, holding.id)) return
        val ofEntry = grants.getOrPut(entry) { HashMap() }
        val known = ofEntry[holding.id]
        if (known != null && known.holding.engine == holding.engine) return
        if (known != null) remove(entry, holding.id)
        heardAt.putIfAbsent(entry, now)
        grants.getOrPut(entry) { HashMap() }[holding.id] = Grant(holding, now)
        account(holding, sign = 1)
    }

    /** Removes a grant that was never used, so that the forecast does not count it as memory held and freed. */
    fun remove(entry: ProcessName, id: Long): MemoryHolding? {
        val ofEntry = grants[entry] ?: return null
        val grant = ofEntry.remove(id) ?: return null
        if (ofEntry.isEmpty()) grants -= entry
        account(grant.holding, sign = -1)
        return grant.holding
    }

    /** Memory that [entry] held under [id] is free again. */
    fun release(entry: ProcessName, id: Long, now: Moment) {
        val since = grants[entry]?.get(id)?.since ?: return
        val holding = remove(entry, id) ?: return
        forecast.recordRelease(now - since)
        accounts[holding.engine]?.recordFreed(entry, since, now)
    }

    /**
     * Corrects what [entry] holds under the ids of [range] by its list. A grant younger than [LIST_DELAY] may have been
     * made after the list was sent and stays.
     */
    fun correct(entry: ProcessName, range: LongRange, listed: List<MemoryHolding>, now: Moment) {
        heardAt[entry] = now
        val ids = listed.mapTo(HashSet()) { it.id }
        grants[entry].orEmpty()
            .filter { (id, grant) -> id in range && id !in ids && now - grant.since > LIST_DELAY }
            .keys.toList().forEach { release(entry, it, now) }
        listed.forEach { hold(entry, it, now) }
    }

    /** Drops what entries hold that sent no list for [ENTRY_SILENCE], and returns their names. */
    fun dropSilent(now: Moment): List<ProcessName> {
        val silent = heardAt.filterValues { now - it > ENTRY_SILENCE }.keys.toList()
        heardAt -= silent.toSet()
        silent.forEach { entry -> grants[entry].orEmpty().keys.toList().forEach { remove(entry, it) } }
        accounts.entries.removeIf { (_, account) -> account.isUnused(now) }
        return silent
    }

    /** [engine] refused memory although the ledger has room. */
    fun recordFull(engine: UpstreamName, now: Moment): Unit = accountOf(engine).recordFull(now)

    /** [engine] could not be reached. */
    fun recordUnreachable(engine: UpstreamName, now: Moment): Unit = accountOf(engine).recordUnreachable(now)

    /** Whether [entry] is likely to have an open connection to [engine] that no call uses. */
    fun isConnected(entry: ProcessName, engine: UpstreamName, now: Moment): Boolean =
        accounts[engine]?.isConnected(entry, now) ?: false

    /** [entry] was offered memory at [engine] and uses a connection for it. */
    fun recordOffer(entry: ProcessName, engine: UpstreamName): Unit = accountOf(engine).recordOffer(entry)

    /** When [engine] may be offered again after it refused; null when it may be offered now. */
    fun avoidedUntil(engine: UpstreamName, now: Moment): Moment? = accounts[engine]?.avoidedUntil?.takeIf { it > now }

    /** When the first engine that refused may be offered again. */
    fun earliestRetryAt(now: Moment): Moment? =
        accounts.values.mapNotNull { it.avoidedUntil }.filter { it > now }.minOrNull()

    /** Number of engines that refused memory and may not be offered yet. */
    fun avoidedEngines(now: Moment): Int =
        accounts.values.count { it.avoidedUntil?.let { until -> until > now } == true }

    /** Expected time until [tokens] tokens are freed; zero while nothing is known of how long memory is held. */
    fun expectedWait(tokens: Int, now: Moment): Duration {
        if (forecast.isOutdated(now)) {
            val held = grants.values.flatMap { ofEntry ->
                ofEntry.values.map { HeldMemory(it.holding.tokens, it.since) }
            }
            forecast.update(held, now)
        }
        return forecast.expectedWait(tokens, now)
    }

    private fun account(holding: MemoryHolding, sign: Int) {
        val tokens = sign * holding.tokens
        heldTokens += tokens
        accountOf(holding.engine).add(tokens, sign)
        val ofCustomer = tokensOf(holding.customer) + tokens
        if (ofCustomer == 0) customerTokens -= holding.customer else customerTokens[holding.customer] = ofCustomer
    }

    private fun accountOf(engine: UpstreamName) = accounts.getOrPut(engine) { EngineAccount() }

    private class Grant(val holding: MemoryHolding, val since: Moment)

    internal companion object {
        /** Time that a list takes at most; entries send one a second. */
        val LIST_DELAY: Duration = 500.milliseconds

        /** Late and repeated messages come within this time. */
        val MESSAGE_LIFETIME: Duration = 1_500.milliseconds

        /** An entry that missed three lists has ended or is cut off. */
        val ENTRY_SILENCE: Duration = 3.seconds
    }
}

/** What entries hold at one engine. */
private class EngineAccount {
    var tokens = 0
        private set
    var requests = 0
        private set
    var avoidedUntil: Moment? = null
        private set
    private var refusals = 0
    private var refusedAt: Moment? = null
    private val freedAt = HashMap<ProcessName, Moment>()

    fun add(addedTokens: Int, addedRequests: Int) {
        tokens += addedTokens
        requests += addedRequests
    }

    /**
     * Memory that [entry] held since [since] is free. After one refusal that makes room. An engine that refused again
     * shows by memory given since then that it serves.
     */
    fun recordFreed(entry: ProcessName, since: Moment, now: Moment) {
        freedAt[entry] = now
        val hasServedSince = refusedAt?.let { since > it } ?: true
        if (hasServedSince) refusals = 0
        if (refusals <= 1) avoidedUntil = null
    }

    fun recordOffer(entry: ProcessName) {
        freedAt -= entry
    }

    fun isConnected(entry: ProcessName, now: Moment) = freedAt[entry]?.let { now - it < IDLE_CONNECTION_TIME } ?: false

    /** Streams outgrow their reservations, so that an engine can be full before its ledger is. */
    fun recordFull(now: Moment): Unit = avoid(FULL_RECHECK_DELAY, now)

    fun recordUnreachable(now: Moment): Unit = avoid(FAILURE_RECHECK_DELAY, now)

    /** Leaves the engine alone for a time that doubles with each refusal in a row. */
    private fun avoid(delay: Duration, now: Moment) {
        refusedAt = now
        if (avoidedUntil?.let { it > now } != true) refusals += 1
        val doublings = (refusals - 1).coerceIn(0, MAXIMUM_DOUBLINGS)
        avoidedUntil = maxOf(avoidedUntil ?: now, now + delay * (1 shl doublings))
    }

    fun isUnused(now: Moment): Boolean {
        freedAt.values.removeIf { now - it >= IDLE_CONNECTION_TIME }
        return requests == 0 && freedAt.isEmpty() && (avoidedUntil?.let { it <= now } ?: true)
    }

    private companion object {
        val FULL_RECHECK_DELAY: Duration = 200.milliseconds
        val FAILURE_RECHECK_DELAY: Duration = 500.milliseconds
        const val MAXIMUM_DOUBLINGS = 3

        /** Entries close connections that no call uses after four seconds. */
        val IDLE_CONNECTION_TIME: Duration = 3_500.milliseconds
    }
}
