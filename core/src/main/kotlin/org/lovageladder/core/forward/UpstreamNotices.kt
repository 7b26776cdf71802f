package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.Moment
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * One start of the upstream [name], which listens at [address]. [startedAt], the wall-clock millisecond of the start,
 * tells apart starts under one name where upstreams say it.
 */
public data class UpstreamStart(val name: UpstreamName, val address: Address, val startedAt: Long? = null)

/**
 * What an answer says of the requests that its upstream wants: none any more when it is [leaving], and none for the
 * time of [pause]. [unreadable] describes what of it could not be read.
 */
public data class UpstreamNotice(
    val leaving: Boolean = false,
    val pause: Duration? = null,
    val unreadable: String? = null,
)

/**
 * Which upstreams asked, in their own answers, for no more requests or for a pause. Both hold for one start of an
 * upstream, whatever the registry says of it: its registration may lag or lapse. A leaving upstream is a last resort
 * within half of [drainBound] and gets nothing after that; a paused one gets nothing at all. Confined to one thread.
 */
internal class UpstreamNotices(private val drainBound: Duration) {
    private class Pause(val since: Moment, val until: Moment)

    private val leaving = HashMap<UpstreamStart, Moment>()
    private val pauses = HashMap<UpstreamStart, Pause>()
    private val complaints = HashMap<UpstreamName, Moment>()

    /** Takes in [notice] of [start]; tells whether it says something new. */
    fun noted(start: UpstreamStart, notice: UpstreamNotice, now: Moment): Boolean {
        val firstMark = notice.leaving && leaving.putIfAbsent(start, now) == null
        val firstPause = notice.pause?.let { pause(start, it, now) } ?: false
        return firstMark || firstPause
    }

    /** Whether a complaint about [name] is due in the log; further ones are due only after a while. */
    fun complains(name: UpstreamName, now: Moment): Boolean {
        val last = complaints[name]
        if (last != null && now - last < COMPLAINT_INTERVAL) return false
        complaints[name] = now
        return true
    }

    /** Whether [start] may get something new at [now]. */
    fun admits(start: UpstreamStart, now: Moment): Boolean {
        if (pausedUntil(start, now) != null) return false
        val since = leaving[start] ?: return true
        return now - since < drainBound / 2
    }

    /** Whether [start] may get a request at [now] for which it already reserved memory. */
    fun admitsReserved(start: UpstreamStart, now: Moment): Boolean {
        val pause = pauses[start] ?: return true
        return now >= pause.until || now - pause.since < CROSSING_TIME
    }

    /** Whether [start] said that it is leaving. */
    fun isLeaving(start: UpstreamStart): Boolean = start in leaving

    /** When the pause of [start] ends; null when it asked for none. */
    fun pausedUntil(start: UpstreamStart, now: Moment): Moment? = pauses[start]?.until?.takeIf { it > now }

    /** Forgets what is over, and upstreams for which [registered] does not hold any more. */
    fun forget(now: Moment, registered: (UpstreamName) -> Boolean) {
        pauses.values.removeIf { it.until <= now }
        leaving.entries.removeIf { (start, since) -> now - since > REGISTRATION_LAPSE && !registered(start.name) }
        complaints.values.removeIf { now - it > COMPLAINT_INTERVAL }
    }

    private fun pause(start: UpstreamStart, length: Duration, now: Moment): Boolean {
        val running = pauses[start]?.takeIf { it.until > now }
        val until = maxOf(now + length.coerceAtMost(LONGEST_PAUSE), running?.until ?: now)
        pauses[start] = Pause(since = running?.since ?: now, until = until)
        return running == null
    }

    private companion object {
        /** An upstream that asks for more is asked again after this. */
        val LONGEST_PAUSE: Duration = 1.minutes

        /** Requests that were on their way when the upstream asked for a pause are not held against the entry. */
        val CROSSING_TIME: Duration = 400.milliseconds

        /** A registration that lapsed with the store is back well before. */
        val REGISTRATION_LAPSE: Duration = 5.minutes
        val COMPLAINT_INTERVAL: Duration = 1.minutes
    }
}
