package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What an entry knows of one upstream: the companion's last ledger, and its own latencies and attempts. */
internal class UpstreamRecord(var entry: ReleaseEntry.Upstream, var role: PoolRole, var place: PlaceName) {
    val name: UpstreamName get() = entry.name

    /** Last ledger state received, and when. */
    var load: UpstreamLoad? = null
        private set
    var loadAt: Moment? = null
        private set

    /** Attempts of this entry that are not finished. */
    var inFlight: Int = 0

    /** Pieces asked for since the last ledger state. */
    var piecesAsked: Int = 0

    /** Prompt tokens sent for prefill and not yet answered. */
    var promptTokensAsked: Long = 0

    val firstLatency = RecentLatency()
    val tokenGap = RecentLatency()

    /** Smoothed time of a prefill per 1,000 prompt tokens. */
    val prefillPerThousandTokens = RecentLatency()

    /** End of the probation in force; null when there is none. */
    var probationUntil: Moment? = null
    var probationLength: Duration = FIRST_PROBATION

    fun learn(received: UpstreamLoad, now: Moment) {
        load = received
        loadAt = now
    }

    fun onProbation(now: Moment): Boolean = probationUntil.let { it != null && now < it }

    /** Part of the decode memory that is used or asked for; above 1 when more is asked for than there is. */
    fun occupancy(extraPieces: Int): Double {
        val total = (load?.piecesTotal ?: entry.pieces).coerceAtLeast(1)
        val used = total - (load?.piecesFree ?: total) + piecesAsked + extraPieces
        return used.toDouble() / total
    }

    /** Calls that run or wait there, as far as known. */
    fun backlog(): Int = maxOf(load?.let { it.running + it.waiting } ?: 0, inFlight)

    companion object {
        val FIRST_PROBATION: Duration = 500.milliseconds
        val LONGEST_PROBATION: Duration = 8.seconds
    }
}

/**
 * All upstreams of the release in force, with what this entry knows of them. Each pool is kept in this entry's order
 * of preference: its own place first, then by rendezvous hashing on its name, so that the entries spread over a large
 * pool and each keeps to [NEAREST] of its upstreams. Confined to one thread.
 */
internal class UpstreamTable(
    private val settings: EntrySettings,
    private val usable: (UpstreamRecord) -> Boolean,
    private val record: (EventDraft) -> Unit,
) {
    private val records = LinkedHashMap<UpstreamName, UpstreamRecord>()
    private val byPool = HashMap<PoolName, List<UpstreamRecord>>()
    private val largest = HashMap<PoolName, Int>()

    val all: Collection<UpstreamRecord> get() = records.values

    operator fun get(name: UpstreamName): UpstreamRecord? = records[name]

    /** The usable upstreams of [pool] that this entry keeps to, nearest first; none of [excluded]. */
    fun nearest(pool: PoolName, excluded: Set<UpstreamName> = emptySet()): List<UpstreamRecord> =
        byPool[pool].orEmpty().asSequence()
            .filter { it.name !in excluded && usable(it) }
            .take(NEAREST)
            .toList()

    /** Memory in pieces of the largest upstream of [pool]; null when it has none. */
    fun largestPieces(pool: PoolName): Int? = largest[pool]

    /** Takes over the upstreams of [state]; what is known of those that stay is kept. */
    fun apply(state: ReleaseState) {
        records.keys.retainAll(state.upstreams.keys)
        state.upstreams.values.forEach { entry ->
            val role = state.roleOf(entry) ?: return@forEach
            val place = state.hosts[entry.host]?.place ?: return@forEach
            val known = records.getOrPut(entry.name) { UpstreamRecord(entry, role, place) }
            known.entry = entry
            known.role = role
            known.place = place
        }
        byPool.clear()
        records.values.groupBy { it.entry.pool }.forEach { (pool, members) -> byPool[pool] = preferred(members) }
        largest.clear()
        byPool.forEach { (pool, members) -> largest[pool] = members.maxOf { it.entry.pieces } }
    }

    private fun preferred(members: List<UpstreamRecord>): List<UpstreamRecord> =
        members.sortedWith(compareBy({ it.place != settings.place }, { rendezvous(settings.process.text, it.name) }))

    fun learn(load: UpstreamLoad, now: Moment) {
        records[load.upstream]?.learn(load, now)
    }

    /** Compares [upstream]'s first-answer latency with its pool's after a sample, and sets or ends its probation. */
    fun judge(upstream: UpstreamRecord, latency: (UpstreamRecord) -> RecentLatency, now: Moment) {
        val peers = nearest(upstream.entry.pool).filter { it !== upstream && !latency(it).isEmpty }
        if (peers.isEmpty()) return
        val own = latency(upstream).smoothedMicroseconds
        val median = peers.map { latency(it).smoothedMicroseconds }.sorted()[(peers.size - 1) / 2]
        val slow = own > median * SLOW_RATIO && own - median > SLOW_FLOOR.inWholeMicroseconds
        if (slow) eject(upstream, now) else restore(upstream, now)
    }

    private fun eject(upstream: UpstreamRecord, now: Moment) {
        if (upstream.onProbation(now) || ejectedLimitReached(upstream, now)) return
        upstream.probationUntil = now + upstream.probationLength
        upstream.probationLength = (upstream.probationLength * 2).coerceAtMost(UpstreamRecord.LONGEST_PROBATION)
        record(EventDraft(EventKind.UPSTREAM_SLOW, upstream = upstream.name))
    }

    private fun restore(upstream: UpstreamRecord, now: Moment) {
        if (upstream.probationUntil == null || upstream.onProbation(now)) return
        upstream.probationUntil = null
        upstream.probationLength = UpstreamRecord.FIRST_PROBATION
        record(EventDraft(EventKind.UPSTREAM_RESTORED, upstream = upstream.name))
    }

    private fun ejectedLimitReached(upstream: UpstreamRecord, now: Moment): Boolean {
        val pool = nearest(upstream.entry.pool)
        val ejected = pool.count { it.onProbation(now) }
        return ejected + 1 > pool.size * settings.ejectedShareLimit
    }

    private companion object {
        const val NEAREST = 16
        const val SLOW_RATIO = 3.0
        val SLOW_FLOOR = 2.milliseconds
    }
}
