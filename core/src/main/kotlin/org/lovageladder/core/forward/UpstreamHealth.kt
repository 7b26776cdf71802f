package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Health of one upstream as seen from the calls of this process. An upstream that is unreachable or keeps failing is
 * ejected for a time that doubles with each further failure. Afterwards it gets one request at a time until one
 * succeeds. Confined to one thread.
 */
internal class UpstreamHealth {
    private var consecutiveFailures = 0
    private var consecutiveDeclines = 0
    private var ejectedUntil: Moment? = null
    private var lastLoad: LoadReport? = null
    private var lastLoadAt: Moment? = null

    /** Calls of this process that are in progress there. */
    var inFlight: Int = 0

    private var failureShare = 0.0
    private var lastFailureAt: Moment? = null

    /**
     * Moving average of the failed share of the calls of this process, from 0 to 1. It halves every
     * [FAILURE_SHARE_HALF_LIFE] after the last failure, since an upstream that gets no calls cannot succeed.
     */
    fun failureShare(now: Moment): Double {
        val at = lastFailureAt ?: return 0.0
        return failureShare * 0.5.pow((now - at) / FAILURE_SHARE_HALF_LIFE)
    }

    /** Whether a new call may be sent there. */
    fun admits(now: Moment): Boolean {
        val until = ejectedUntil ?: return true
        return now >= until && inFlight == 0
    }

    /** The last reported load, or null when it is too old to count. */
    fun load(now: Moment): LoadReport? {
        val at = lastLoadAt ?: return null
        return lastLoad.takeIf { now - at < LOAD_REPORT_LIFETIME }
    }

    /** Records the [load] that the upstream reported. */
    fun recordLoad(load: LoadReport, now: Moment) {
        lastLoad = load
        lastLoadAt = now
    }

    /** Records a call that succeeded. */
    fun recordSuccess() {
        consecutiveFailures = 0
        consecutiveDeclines = 0
        ejectedUntil = null
        failureShare *= 1 - FAILURE_WEIGHT
    }

    /** Records a call that ran and was answered with an error, or whose answer was damaged. */
    fun recordError(now: Moment) {
        recordFailure(now)
        if (failureShare > EJECTION_FAILURE_SHARE) eject(now)
    }

    /**
     * Records that the upstream declined a call without running it. An upstream that declines everything always seems
     * free and would attract every new request, so it is ejected for a time that doubles with each decline in a row.
     */
    fun recordDecline(now: Moment) {
        ejectedUntil =
            now + INITIAL_DECLINE_EJECTION_TIME * (1 shl consecutiveDeclines.coerceAtMost(MAXIMUM_DECLINE_DOUBLINGS))
        consecutiveDeclines += 1
    }

    /** Records that the upstream was unreachable or silent. */
    fun recordUnreachable(now: Moment) {
        recordFailure(now)
        eject(now)
    }

    private fun recordFailure(now: Moment) {
        failureShare += (1 - failureShare) * FAILURE_WEIGHT
        lastFailureAt = now
    }

    private fun eject(now: Moment) {
        val ejectionTime = INITIAL_EJECTION_TIME * (1 shl consecutiveFailures.coerceAtMost(MAXIMUM_EJECTION_DOUBLINGS))
        consecutiveFailures += 1
        ejectedUntil = now + ejectionTime
    }

    private companion object {
        /** Load changes many times a second. */
        val LOAD_REPORT_LIFETIME: Duration = 1.seconds
        val INITIAL_EJECTION_TIME: Duration = 500.milliseconds
        val INITIAL_DECLINE_EJECTION_TIME: Duration = 50.milliseconds
        const val MAXIMUM_DECLINE_DOUBLINGS = 5
        const val MAXIMUM_EJECTION_DOUBLINGS = 3
        val FAILURE_SHARE_HALF_LIFE: Duration = 5.seconds
        const val FAILURE_WEIGHT = 0.12
        const val EJECTION_FAILURE_SHARE = 0.5
    }
}
