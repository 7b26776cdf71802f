package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Shutdown phase of a process that was told to stop at [startedAt] and is terminated after [gracePeriod]. Every request
 * has its final answer at [finalDeadline], so that the answer can be written before the process is terminated.
 */
internal class Drain(private val startedAt: Moment, private val gracePeriod: Duration) {
    private val margin = (gracePeriod / MARGIN_DIVISOR).coerceIn(MINIMUM_MARGIN, MAXIMUM_MARGIN)

    /** When the last open requests are answered; nothing is accepted or sent to an upstream from then on. */
    val finalDeadline: Moment = startedAt + gracePeriod - margin

    private val latestStreamStart = startedAt + gracePeriod * STREAM_START_FRACTION
    private val streamAcceptancePeriod = minOf(STREAM_ACCEPTANCE_PERIOD, gracePeriod / 2)

    /** Whether a new [request] of [route] must be refused at [now] because it might not finish in time. */
    fun mustRefuse(request: ForwardRequest, route: Route, now: Moment): Boolean {
        if (now >= finalDeadline) return true
        if (route.kind == RouteKind.STREAM) return now - startedAt > streamAcceptancePeriod
        val maximumDuration = minOf(request.callerTimeout ?: route.timeout, route.timeout)
        return now + maximumDuration > finalDeadline
    }

    /**
     * Whether a request of [route] with [deadline], accepted earlier, may still be sent to an upstream at [now]. A
     * request that must not run twice is not sent when it might outlast the process; a stream always might, so that it
     * is sent while there is time for a part of its output.
     */
    fun maySend(route: Route, deadline: Moment, now: Moment): Boolean = when (route.kind) {
        RouteKind.STREAM -> now < latestStreamStart
        RouteKind.IDEMPOTENT -> now < finalDeadline
        RouteKind.AT_MOST_ONCE -> now < finalDeadline && deadline <= finalDeadline
    }

    private companion object {
        /** The load balancer sends new callers to other entries after about two seconds. */
        val STREAM_ACCEPTANCE_PERIOD: Duration = 2_200.milliseconds

        /**
         * The margin is a part of the last sixth of the grace period, in which a stream that still runs may be ended.
         * It covers a stop signal that is handled late and the time to write the last answers.
         */
        const val MARGIN_DIVISOR = 16
        val MINIMUM_MARGIN: Duration = 100.milliseconds
        val MAXIMUM_MARGIN: Duration = 1.seconds
        const val STREAM_START_FRACTION = 5.0 / 6
    }
}
