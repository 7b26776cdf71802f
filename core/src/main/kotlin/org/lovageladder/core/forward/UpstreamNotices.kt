package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.Moment
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * One incarnation of the upstream [name], which listens at [address]. [startedAt], the wall-clock time of the start in
 * milliseconds, distinguishes starts under the same name where upstreams report it.
 */
public data class UpstreamIncarnation(val name: UpstreamName, val address: Address, val startedAt: Long? = null) {
    /** The start by which entries tell each other of this incarnation. */
    internal val start: EngineStart get() = EngineStart(name, startedAt)
}

/**
 * What an answer says about the requests that its upstream accepts: none any more when it is [isLeaving], and none for
 * the time of [pause]. [requestLimit] is null when the answer says nothing about a limit. [unreadablePart] describes
 * the part that could not be read.
 */
public data class UpstreamNotice(
    val isLeaving: Boolean = false,
    val pause: Duration? = null,
    val unreadablePart: String? = null,
    val requestLimit: RequestLimitNotice? = null,
)

/** Requests that were in flight when their upstream asked for fewer may still arrive within this time. */
internal val IN_FLIGHT_TOLERANCE: Duration = 400.milliseconds

/** What an answer says about the limit on the requests that all entries together may send to its upstream. */
public sealed interface RequestLimitNotice {
    /** The upstream accepts [requestsPerSecond] from all entries together. */
    public data class Named(val requestsPerSecond: Double) : RequestLimitNotice

    /** The upstream answered a request successfully and named no limit, so that it has none. */
    public data object NotNamed : RequestLimitNotice
}

/**
 * Upstreams that asked in their answers for no more requests or for a pause. Both apply to one incarnation of an
 * upstream, whatever the registry says, because its registration may lag or expire. A leaving upstream is a last resort
 * within half of [drainBound] and gets nothing after that; a paused one gets nothing at all. Confined to one thread.
 */
internal class UpstreamNotices(private val drainBound: Duration) {
    private class Pause(val since: Moment, val until: Moment)

    private val leavingSince = HashMap<UpstreamIncarnation, Moment>()
    private val pauses = HashMap<UpstreamIncarnation, Pause>()
    private val unreadableLoggedAt = HashMap<UpstreamName, Moment>()

    /** Records [notice] of [incarnation]. Returns whether it says something new. */
    fun recordNotice(incarnation: UpstreamIncarnation, notice: UpstreamNotice, now: Moment): Boolean {
        val isNewlyLeaving = notice.isLeaving && leavingSince.putIfAbsent(incarnation, now) == null
        val isNewPause = notice.pause?.let { startPause(incarnation, it, now) } ?: false
        return isNewlyLeaving || isNewPause
    }

    /**
     * Whether an unreadable notice of [name] is due to be logged, which happens at most once in
     * [UNREADABLE_LOG_INTERVAL].
     */
    fun isUnreadableLogDue(name: UpstreamName, now: Moment): Boolean {
        val loggedAt = unreadableLoggedAt[name]
        if (loggedAt != null && now - loggedAt < UNREADABLE_LOG_INTERVAL) return false
        unreadableLoggedAt[name] = now
        return true
    }

    /** Whether [incarnation] may get a new request at [now]. */
    fun admits(incarnation: UpstreamIncarnation, now: Moment): Boolean =
        pausedUntil(incarnation, now) == null && isWithinDrain(incarnation, now)

    private fun isWithinDrain(incarnation: UpstreamIncarnation, now: Moment): Boolean {
        val since = leavingSince[incarnation] ?: return true
        return now - since < drainBound / 2
    }

    /** Whether [incarnation] may get a request at [now] for which it has already reserved memory. */
    fun admitsReserved(incarnation: UpstreamIncarnation, now: Moment): Boolean {
        if (!isWithinDrain(incarnation, now)) return false
        val pause = pauses[incarnation] ?: return true
        return now >= pause.until || now - pause.since < IN_FLIGHT_TOLERANCE
    }

    /** Whether [incarnation] announced that it is leaving. */
    fun isLeaving(incarnation: UpstreamIncarnation): Boolean = incarnation in leavingSince

    /** When the pause of [incarnation] ends; null when it is not paused. */
    fun pausedUntil(incarnation: UpstreamIncarnation, now: Moment): Moment? = pauses[incarnation]?.until?.takeIf {
        it >
            now
    }

    /** Removes expired notices, and those of upstreams for which [isRegistered] does not hold any more. */
    fun removeExpired(now: Moment, isRegistered: (UpstreamName) -> Boolean) {
        pauses.values.removeIf { it.until <= now }
        leavingSince.entries.removeIf { (incarnation, since) ->
            now - since > UNREGISTERED_TIMEOUT && !isRegistered(incarnation.name)
        }
        unreadableLoggedAt.values.removeIf { now - it > UNREADABLE_LOG_INTERVAL }
    }

    private fun startPause(incarnation: UpstreamIncarnation, length: Duration, now: Moment): Boolean {
        val current = pauses[incarnation]?.takeIf { it.until > now }
        val until = maxOf(now + length.coerceAtMost(MAXIMUM_PAUSE), current?.until ?: now)
        pauses[incarnation] = Pause(since = current?.since ?: now, until = until)
        return current == null
    }

    private companion object {
        /** An upstream that asks for a longer pause is tried again after this time. */
        val MAXIMUM_PAUSE: Duration = 1.minutes

        /** A registration that expired in a registry outage is back well before this time. */
        val UNREGISTERED_TIMEOUT: Duration = 5.minutes
        val UNREADABLE_LOG_INTERVAL: Duration = 1.minutes
    }
}
