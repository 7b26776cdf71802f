package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** State of one upstream at an entry: the companion's last ledger state, and this entry's latencies and attempts. */
internal class UpstreamRecord(var entry: ReleaseEntry.Upstream, var role: PoolRole, var place: PlaceName) {
    val name: UpstreamName get() = entry.name

    /** Last ledger state received, at [loadReceivedAt]. */
    var load: UpstreamLoad? = null
        private set
    var loadReceivedAt: Moment? = null
        private set

    /** Attempts of this entry that are not finished. */
    var inFlight: Int = 0

    /** Pieces requested by attempts that the companion has not answered yet. */
    var pendingPieces: Int = 0

    /** Prompt tokens of prefills that the companion has not answered yet. */
    var pendingPromptTokens: Long = 0

    val firstLatency = RecentLatency()
    val tokenGap = RecentLatency()

    /** Smoothed time of a prefill per 1,000 prompt tokens. */
    val prefillTimePerThousandTokens = RecentLatency()

    /** End of the current probation; null when there is none. */
    var probationUntil: Moment? = null
    var nextProbationDuration: Duration = MINIMUM_PROBATION

    fun recordLoad(received: UpstreamLoad, now: Moment) {
        load = received
        loadReceivedAt = now
    }

    fun isOnProbation(now: Moment): Boolean = probationUntil.let { it != null && now < it }

    /** Fraction of the decode memory that is used or requested; above 1 when more is requested than available. */
    fun occupancy(extraPieces: Int): Double {
        val total = (load?.piecesTotal ?: entry.pieces).coerceAtLeast(1)
        val used = total - (load?.piecesFree ?: total) + pendingPieces + extraPieces
        return used.toDouble() / total
    }

    /** Number of calls running or waiting there, from the ledger or from this entry's attempts if those are more. */
    fun backlog(): Int = maxOf(load?.let { it.running + it.waiting } ?: 0, inFlight)

    companion object {
        val MINIMUM_PROBATION: Duration = 500.milliseconds
        val MAXIMUM_PROBATION: Duration = 8.seconds
    }
}

/**
 * All upstreams of the applied release with their state at this entry. The upstreams of a pool are sorted by
 * preference: this entry's place first, then by rendezvous hashing on its process name. Each entry uses only the first
 * [NEAREST_LIMIT], so that the entries spread over a large pool. Confined to one thread.
 */
internal class UpstreamTable(
    private val settings: EntrySettings,
    private val isUsable: (UpstreamRecord) -> Boolean,
    private val recordEvent: (EventDraft) -> Unit,
) {
    private val records = LinkedHashMap<UpstreamName, UpstreamRecord>()
    private val byPool = HashMap<PoolName, List<UpstreamRecord>>()
    private val largestPiecesByPool = HashMap<PoolName, Int>()

    val all: Collection<UpstreamRecord> get() = records.values

    operator fun get(name: UpstreamName): UpstreamRecord? = records[name]

    /** The first [NEAREST_LIMIT] usable upstreams of [pool] in order of preference, without [excluded]. */
    fun nearestUsable(pool: PoolName, excluded: Set<UpstreamName> = emptySet()): List<UpstreamRecord> =
        byPool[pool].orEmpty().asSequence()
            .filter { it.name !in excluded && isUsable(it) }
            .take(NEAREST_LIMIT)
            .toList()

    /** Memory of the largest upstream of [pool], in pieces; null when the pool has none. */
    fun largestUpstreamPieces(pool: PoolName): Int? = largestPiecesByPool[pool]

    /** Applies the upstreams of [state]; the state of those that remain is kept. */
    fun applyRelease(state: ReleaseState) {
        records.keys.retainAll(state.upstreams.keys)
        state.upstreams.values.forEach { entry ->
            val role = state.roleOf(entry) ?: return@forEach
            val place = state.hosts[entry.host]?.place ?: return@forEach
            val upstream = records.getOrPut(entry.name) { UpstreamRecord(entry, role, place) }
            upstream.entry = entry
            upstream.role = role
            upstream.place = place
        }
        byPool.clear()
        records.values.groupBy { it.entry.pool }.forEach { (pool, members) -> byPool[pool] = sortByPreference(members) }
        largestPiecesByPool.clear()
        byPool.forEach { (pool, members) -> largestPiecesByPool[pool] = members.maxOf { it.entry.pieces } }
    }

    private fun sortByPreference(members: List<UpstreamRecord>): List<UpstreamRecord> = members.sortedWith(
        compareBy({ it.place != settings.place }, { rendezvousHash(settings.process.text, it.name.text) }),
    )

    fun recordLoad(load: UpstreamLoad, now: Moment) {
        records[load.upstream]?.recordLoad(load, now)
    }

    /** Compares [latency] of [upstream] with the median of its pool, and starts or ends its probation. */
    fun updateProbation(upstream: UpstreamRecord, latency: (UpstreamRecord) -> RecentLatency, now: Moment) {
        val peers = nearestUsable(upstream.entry.pool).filter { it !== upstream && !latency(it).isEmpty }
        if (peers.isEmpty()) return
        val own = latency(upstream).smoothedMicroseconds
        val median = peers.map { latency(it).smoothedMicroseconds }.sorted()[(peers.size - 1) / 2]
        val isSlow = own > median * SLOW_RATIO && own - median > MINIMUM_SLOW_DIFFERENCE.inWholeMicroseconds
        if (isSlow) startProbation(upstream, now) else endProbation(upstream, now)
    }

    private fun startProbation(upstream: UpstreamRecord, now: Moment) {
        if (upstream.isOnProbation(now) || isProbationLimitReached(upstream, now)) return
        upstream.probationUntil = now + upstream.nextProbationDuration
        upstream.nextProbationDuration =
            (upstream.nextProbationDuration * 2).coerceAtMost(UpstreamRecord.MAXIMUM_PROBATION)
        recordEvent(EventDraft(EventKind.UPSTREAM_SLOW, upstream = upstream.name))
    }

    private fun endProbation(upstream: UpstreamRecord, now: Moment) {
        if (upstream.probationUntil == null || upstream.isOnProbation(now)) return
        upstream.probationUntil = null
        upstream.nextProbationDuration = UpstreamRecord.MINIMUM_PROBATION
        recordEvent(EventDraft(EventKind.UPSTREAM_RESTORED, upstream = upstream.name))
    }

    private fun isProbationLimitReached(upstream: UpstreamRecord, now: Moment): Boolean {
        val pool = nearestUsable(upstream.entry.pool)
        val countOnProbation = pool.count { it.isOnProbation(now) }
        return countOnProbation + 1 > pool.size * settings.ejectedShareLimit
    }

    private companion object {
        const val NEAREST_LIMIT = 16
        const val SLOW_RATIO = 3.0
        val MINIMUM_SLOW_DIFFERENCE = 2.milliseconds
    }
}
