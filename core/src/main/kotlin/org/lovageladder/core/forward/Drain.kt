package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Shutdown phase of a process that was told to stop at [startedAt] and is terminated after [gracePeriod]. */
internal class Drain(private val startedAt: Moment, private val gracePeriod: Duration) {
    /** Whether a new [request] of [route] must be refused at [now] because it might not finish before termination. */
    fun mustRefuse(request: ForwardRequest, route: Route, now: Moment): Boolean {
        if (route.kind == RouteKind.STREAM) return now - startedAt > STREAM_ACCEPTANCE_PERIOD
        val maximumDuration = minOf(request.callerTimeout ?: route.timeout, route.timeout)
        return now + maximumDuration > startedAt + gracePeriod
    }

    private companion object {
        /** The load balancer sends new callers to other entries after about two seconds. */
        val STREAM_ACCEPTANCE_PERIOD: Duration = 2_200.milliseconds
    }
}
