package org.lovageladder.core.forward

import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.ServiceName
import kotlin.time.Duration

/*
 * What operators configure for forwarding: routes, the services they lead to, and limits on callers. A configuration
 * is always whole; a later version replaces an earlier one.
 */

/** One version of the operators' configuration. */
public data class Configuration(
    val version: ReleaseVersion,
    val routes: List<Route>,
    val services: Map<ServiceName, ServiceTraits>,
    val limits: CallerLimits,
)

/** What may be repeated of the requests of a route. */
public enum class RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT,

    /** A request runs once at most. */
    ONCE,

    /** A request is answered by a token stream; it runs once at most unless the route is resumable. */
    STREAM,
}

/**
 * Requests of [host] whose path begins with [prefix]. [timeout] bounds the time to the final answer, [target] the time
 * to the answer, or to the first event of a stream, that is still good. [maximumAttempts] bounds the upstreams on
 * which one request may run. A [resumable] stream may go on at another upstream after the last event that was given.
 */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RouteKind,
    val timeout: Duration,
    val target: Duration,
    val priority: Int,
    val shares: List<ServiceShare>,
    val maximumAttempts: Int,
    val resumable: Boolean,
) {
    /** Whether a request may run again after it may have run. */
    val repeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || resumable
}

/** Part of a route's requests that goes to [service], in proportion to [weight]. */
public data class ServiceShare(val service: ServiceName, val weight: Int)

/**
 * A service. Each of its upstreams takes [connectionLimit] connections from all entries together, null when no limit is
 * known; [engine] is null when its upstreams are not engines.
 */
public data class ServiceTraits(val name: ServiceName, val connectionLimit: Int?, val engine: EngineTraits?)

/**
 * Engines of a service: [slots] requests run at once and share memory for [memoryTokens]. The result of a prefill is
 * kept for [prefillKeepTime], a reservation at most for [reservationLimit]; a change of role takes [roleChangeTime].
 */
public data class EngineTraits(
    val slots: Int,
    val memoryTokens: Int,
    val prefillKeepTime: Duration,
    val reservationLimit: Duration,
    val roleChangeTime: Duration,
)

/** What a caller's request may use. */
public data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
