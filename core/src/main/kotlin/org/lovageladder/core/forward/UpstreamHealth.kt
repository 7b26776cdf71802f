package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What this process learned of one upstream from its own calls. An upstream that cannot be reached, or that keeps
 * failing, is ejected for a time that doubles with each further failure; afterwards one request at a time tries it
 * until one succeeds. Confined to one thread.
 */
internal class UpstreamHealth {
    private var failures = 0
    private var declines = 0
    private var ejectedUntil: Moment? = null
    private var reported: LoadReport? = null
    private var reportedAt: Moment? = null

    /** Calls of this process that run there now. */
    var inFlight: Int = 0

    /** Share of this process's recent calls that failed, from 0 to 1. */
    var failureShare: Double = 0.0
        private set

    /** Whether a new call may go there. */
    fun admits(now: Moment): Boolean {
        val until = ejectedUntil ?: return true
        return now >= until && inFlight == 0
    }

    /** The load that the upstream told last, unless it is too old to count. */
    fun load(now: Moment): LoadReport? {
        val at = reportedAt ?: return null
        return reported.takeIf { now - at < LOAD_LIFETIME }
    }

    /** The upstream told its [load]. */
    fun report(load: LoadReport, now: Moment) {
        reported = load
        reportedAt = now
    }

    /** A call was answered as it should be. */
    fun succeeded() {
        failures = 0
        declines = 0
        ejectedUntil = null
        failureShare *= 1 - FAILURE_WEIGHT
    }

    /** A call ran and was answered with an error, or its answer was damaged. */
    fun erred(now: Moment) {
        failureShare += (1 - failureShare) * FAILURE_WEIGHT
        if (failureShare > FAILURE_LIMIT) eject(now)
    }

    /**
     * The upstream declined a call without running it. One that declines everything is free at all times and would
     * draw each new request, so it is left out for a time that doubles with each decline in a row.
     */
    fun declined(now: Moment) {
        ejectedUntil = now + DECLINE_PAUSE * (1 shl declines.coerceAtMost(DECLINE_DOUBLINGS))
        declines += 1
    }

    /** The upstream could not be reached, or was silent. */
    fun unreachable(now: Moment) {
        failureShare += (1 - failureShare) * FAILURE_WEIGHT
        eject(now)
    }

    private fun eject(now: Moment) {
        val length = EJECTION * (1 shl failures.coerceAtMost(EJECTION_DOUBLINGS))
        failures += 1
        ejectedUntil = now + length
    }

    private companion object {
        /** Load changes many times a second. */
        val LOAD_LIFETIME: Duration = 1.seconds
        val EJECTION: Duration = 500.milliseconds
        val DECLINE_PAUSE: Duration = 50.milliseconds
        const val DECLINE_DOUBLINGS = 5
        const val EJECTION_DOUBLINGS = 3
        const val FAILURE_WEIGHT = 0.12
        const val FAILURE_LIMIT = 0.5
    }
}
