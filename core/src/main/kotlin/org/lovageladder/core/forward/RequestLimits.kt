package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.math.roundToLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the requests of all entries together that upstreams name in their answers.
 *
 * Entries do not ask each other before they send. A few of them, the owners of a limit, divide most of it: those that
 * rank first for the upstream in an order which every entry works out from the registered entries. There are more
 * owners the higher the limit is, because each of them may send a request at any time; if all entries had a share,
 * hundreds of them could each send one request in the same second. The other entries send one request each now and
 * then, to learn when the limit ends if no other entry reports it. They are spread at random over a long period.
 *
 * Entries that are cut off from the registry go on with the owners that they know, while others take their place after
 * some time. [EntryCounter.isSettled] tells an entry that it has to use a reduced share meanwhile. The shares are such
 * that two disjoint sets of owners, one of them with reduced shares, stay within six times the limit and five requests
 * in any four seconds: 1.5 times what the limit allows in that time, and a tolerance of five.
 *
 * Load pattern: upstreams in need accept far less than callers send. Confined to one thread.
 */
internal class RequestLimits(
    private val entries: EntryCounter,
    private val membership: Membership,
    private val random: Random,
) {
    private val limitedByName = HashMap<UpstreamName, LimitedUpstream>()
    private val returnsBookedUntil = HashMap<ServiceName, Moment>()

    /** Number of upstreams that named a limit. */
    val limitedUpstreams: Int get() = limitedByName.size

    /** Records what an answer of upstream [name] says about its limit. */
    fun recordNotice(name: UpstreamName, notice: RequestLimitNotice, now: Moment) {
        when (notice) {
            is RequestLimitNotice.Named ->
                limitedByName
                    .getOrPut(name) { LimitedUpstream(now, TokenBucket(random.nextDouble(), now)) }
                    .recordLimit(notice.requestsPerSecond, now)
            RequestLimitNotice.NotNamed -> {
                val limited = limitedByName[name] ?: return
                if (limited.isSilent(now)) limited.recordEnd()
            }
        }
    }

    /**
     * Records that another entry reported [requestsPerSecond] as the limit of upstream [name]; null means that the
     * limit ended.
     */
    fun recordReport(name: UpstreamName, requestsPerSecond: Double?, now: Moment) {
        if (requestsPerSecond == null) {
            limitedByName[name]?.recordEnd()
        } else {
            recordNotice(name, RequestLimitNotice.Named(requestsPerSecond), now)
        }
    }

    /** The limit of upstream [name] in requests a second; null when it has none. */
    fun limitOf(name: UpstreamName, now: Moment): Double? = find(name, now)?.limit(now)

    /** Whether this process may send a request to [upstream] now. */
    fun admits(upstream: UpstreamRegistration, now: Moment): Boolean {
        val limited = find(upstream.name, now) ?: return true
        return refill(upstream.name, limited, now).tokens >= callsPerRequest(upstream.role)
    }

    /** Whether this process may make a single call to upstream [name] now. */
    fun hasPermit(name: UpstreamName, now: Moment): Boolean {
        val limited = find(name, now) ?: return true
        return refill(name, limited, now).tokens >= 1
    }

    /** When this process may send a request to [upstream]; null when it may do so now. */
    fun nextPermitAt(upstream: UpstreamRegistration, now: Moment): Moment? {
        if (admits(upstream, now)) return null
        val limited = limitedByName.getValue(upstream.name)
        val rate = share(upstream.name, limited, now).callsPerSecond
        return now + limited.bucket.timeUntil(callsPerRequest(upstream.role), rate)
    }

    /**
     * Whether the call that uses or releases memory may be sent, which upstream [name] reserved for a call at
     * [requestedAt]. It was paid for with the reservation, unless the limit became known only afterwards.
     */
    fun admitsReserved(name: UpstreamName, requestedAt: Moment, now: Moment): Boolean {
        val limited = find(name, now) ?: return true
        if (limited.since <= requestedAt || now - limited.since < IN_FLIGHT_TOLERANCE) return true
        return tryTakePermit(name, now)
    }

    /** Takes the permit for a single call to upstream [name]. Returns false when there is none. */
    fun tryTakePermit(name: UpstreamName, now: Moment): Boolean {
        if (!hasPermit(name, now)) return false
        recordCalls(name, calls = 1, now)
        return true
    }

    /** Records [calls] calls to upstream [name], those that are being sent and those that are certain to follow. */
    fun recordCalls(name: UpstreamName, calls: Int, now: Moment) {
        val limited = find(name, now) ?: return
        refill(name, limited, now).take(calls)
    }

    /**
     * Time until a caller that [upstreams] of [service] did not admit should return. Callers are given one time after
     * the other, at this process's part of what the limits allow in all. Null when no upstream has a limit.
     */
    fun bookReturn(service: ServiceName, upstreams: List<UpstreamRegistration>, now: Moment): Duration? {
        val limits = upstreams.mapNotNull { limitOf(it.name, now) }
        if (limits.isEmpty()) return null
        val interval = (entries.count(now) / limits.sumOf { it.coerceAtLeast(MINIMUM_LIMIT) }).seconds
        val bookedUntil = maxOf(now, returnsBookedUntil[service] ?: now) + interval
        returnsBookedUntil[service] = minOf(bookedUntil, now + MAXIMUM_RETURN_DELAY)
        return minOf(bookedUntil - now, MAXIMUM_RETURN_DELAY)
    }

    /** Describes this process's share of the limit of [name] for the time line; empty when there is no limit. */
    fun describeShare(name: UpstreamName, now: Moment): String {
        val limited = find(name, now) ?: return ""
        val share = share(name, limited, now)
        val rank = entries.rank(name.text, now)
        val callsPerSecond = (share.callsPerSecond * LOGGED_PRECISION).roundToLong() / LOGGED_PRECISION
        return "share=$callsPerSecond burst=${share.burst} rank=$rank entries=${entries.count(now)}"
    }

    /** Drops the limits of upstreams that have not been registered for a long time. */
    fun removeUnregistered(now: Moment) {
        limitedByName.entries.removeIf { (name, limited) ->
            membership[name] == null && now - limited.lastNamedAt > UNREGISTERED_TIMEOUT
        }
    }

    /** The state of upstream [name], dropped when its limit has ended. */
    private fun find(name: UpstreamName, now: Moment): LimitedUpstream? {
        val limited = limitedByName[name] ?: return null
        if (!limited.hasEnded(now)) return limited
        limitedByName.remove(name)
        return null
    }

    private fun refill(name: UpstreamName, limited: LimitedUpstream, now: Moment): TokenBucket {
        val share = share(name, limited, now)
        limited.bucket.refill(share.callsPerSecond, share.burst.toDouble(), now)
        return limited.bucket
    }

    private fun share(name: UpstreamName, limited: LimitedUpstream, now: Moment): LimitShare {
        val callsPerRequest = membership[name]?.let { callsPerRequest(it.role) } ?: 1
        val share = LimitShare.of(
            limit = limited.limit(now).coerceAtLeast(MINIMUM_LIMIT),
            callsPerRequest = callsPerRequest,
            entryCount = if (entries.isEmpty(now)) entries.count(now) else entries.rankedCount(now),
            rank = if (entries.isEmpty(now)) null else entries.rank(name.text, now) ?: entries.count(now),
        )
        return if (entries.isSettled(now)) share else share.reduced()
    }

    /** A reservation of decode memory is followed by the call that uses or releases it. */
    private fun callsPerRequest(role: PoolRole) = if (role == PoolRole.DECODE) 2 else 1

    private companion object {
        /** An upstream that accepts less is still asked at this rate, in requests a second, to learn when that ends. */
        const val MINIMUM_LIMIT = 0.1
        const val LOGGED_PRECISION = 1_000.0
        val MAXIMUM_RETURN_DELAY: Duration = 5.seconds

        /** A registration that expired in a registry outage is back well before this time. */
        val UNREGISTERED_TIMEOUT: Duration = 5.minutes
    }
}

/** What one entry may send to a limited upstream: [callsPerSecond], and up to [burst] calls at once. */
internal data class LimitShare(val callsPerSecond: Double, val burst: Int) {
    /** Share of an entry whose place another one may take. */
    fun reduced(): LimitShare = copy(callsPerSecond = callsPerSecond / REDUCTION)

    companion object {
        private const val REDUCTION = 4
        private const val OWNED_FRACTION = 0.9
        private const val PROBED_FRACTION = 0.1

        /** Bursts of all owners together: requests, and seconds of the limit. */
        private const val BASE_BURST = 2.5
        private const val BURST_SECONDS = 0.5

        /**
         * Share of the entry with [rank] among [entryCount] entries in [limit], in calls a second. A request takes
         * [callsPerRequest] calls. [rank] is null when no entry is known, in which case all count as owners.
         */
        fun of(limit: Double, callsPerRequest: Int, entryCount: Int, rank: Int?): LimitShare {
            val totalBurst = BASE_BURST + BURST_SECONDS * limit
            val maximumOwners = (totalBurst / callsPerRequest).toInt().coerceAtLeast(1)
            val owners = if (rank == null) entryCount else minOf(maximumOwners, entryCount)
            if (rank != null && rank >= owners) {
                val others = (entryCount - owners).coerceAtLeast(1)
                return LimitShare(PROBED_FRACTION * limit / others, callsPerRequest)
            }
            val burst = (totalBurst / owners).toInt().coerceAtLeast(callsPerRequest)
            return LimitShare(OWNED_FRACTION * limit / owners, burst)
        }
    }
}

/** An upstream with a limit, known since [since], and the [bucket] of this process's share. */
private class LimitedUpstream(val since: Moment, val bucket: TokenBucket) {
    private class NamedLimit(val requestsPerSecond: Double, val at: Moment)

    /** The limits of the last [MEMORY], ascending by time and value, and at least the last one. */
    private val named = ArrayDeque<NamedLimit>()

    private var isEndReported = false

    var lastNamedAt: Moment = since
        private set

    fun recordLimit(requestsPerSecond: Double, now: Moment) {
        while (named.isNotEmpty() && named.last().requestsPerSecond >= requestsPerSecond) named.removeLast()
        named.addLast(NamedLimit(requestsPerSecond, now))
        lastNamedAt = now
        isEndReported = false
    }

    /** Records that the upstream, or another entry, said that there is no limit any more. */
    fun recordEnd() {
        isEndReported = true
    }

    /** The lowest limit of the last [MEMORY], so that one that changes from answer to answer is kept. */
    fun limit(now: Moment): Double {
        while (named.size > 1 && now - named.first().at > MEMORY) named.removeFirst()
        return named.first().requestsPerSecond
    }

    /** Whether the limit has ended. It holds for [MEMORY] after it was last named, whoever said that it ended. */
    fun hasEnded(now: Moment): Boolean = isEndReported && isSilent(now)

    /**
     * Whether the limit was not named for [MEMORY]. Before that, an answer without it may be older than one with it.
     */
    fun isSilent(now: Moment): Boolean = now - lastNamedAt > MEMORY

    private companion object {
        val MEMORY: Duration = 4.seconds
    }
}
