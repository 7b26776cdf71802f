package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A process that was told to stop at [since] and is ended after [grace]. */
internal class Drain(private val since: Moment, private val grace: Duration) {
    /** Whether [request] of [route] must not be taken at [now], since the end might cut it. */
    fun refuses(request: ForwardRequest, route: Route, now: Moment): Boolean {
        if (route.kind == RouteKind.STREAM) return now - since > STREAMS_TAKEN
        val longest = minOf(request.wait ?: route.timeout, route.timeout)
        return now + longest > since + grace
    }

    private companion object {
        /** The balancer sends new callers elsewhere after about two seconds. */
        val STREAMS_TAKEN: Duration = 2_200.milliseconds
    }
}
