package org.lovageladder.core.forward

import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.ServiceName
import org.lovageladder.core.forward.customer.CustomerDirectory
import kotlin.time.Duration

/*
 * Forwarding configuration set by operators: routes, their services, and limits on callers. Each version is complete
 * and replaces the version before it.
 */

/**
 * One version of the operators' configuration. [customers] is null when callers need no key. [leftOut] describes what
 * of the configuration could not be used, without any key.
 */
public data class ForwardConfiguration(
    val version: ReleaseVersion,
    val routes: List<Route>,
    val services: Map<ServiceName, ServiceConfiguration>,
    val callerLimits: CallerLimits,
    val customers: CustomerDirectory? = null,
    val leftOut: List<String> = emptyList(),
)

/** Whether requests of a route may be repeated. */
public enum class RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT,

    /** A request runs at most once. */
    AT_MOST_ONCE,

    /** A request is answered by an event stream. It runs at most once unless the route is resumable. */
    STREAM,
}

/**
 * Requests to [host] whose path begins with [prefix].
 *
 * [timeout] bounds the time until the answer is complete. [latencyTarget] is the time within which an answer, or the
 * first event of a stream, counts as good. A request may run on at most [maximumRuns] upstreams. If [isResumable], a
 * stream that breaks may be continued on another upstream after the last event that was passed on. Callers of a route
 * that [isPublic] need no key.
 */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RouteKind,
    val timeout: Duration,
    val latencyTarget: Duration,
    val priority: Int,
    val serviceShares: List<ServiceShare>,
    val maximumRuns: Int,
    val isResumable: Boolean,
    val isPublic: Boolean = false,
) {
    /** Whether a request that may have run can be sent again. */
    val isRetryable: Boolean get() = kind == RouteKind.IDEMPOTENT || isResumable
}

/** Share of the requests of a route that goes to [service], in proportion to [weight]. */
public data class ServiceShare(val service: ServiceName, val weight: Int)

/**
 * A service. Each of its upstreams accepts [maximumConnections] connections from all entries together; null when no
 * limit is known. [engine] is null when its upstreams are not engines. [healthPath] answers whether one is healthy.
 */
public data class ServiceConfiguration(
    val name: ServiceName,
    val maximumConnections: Int?,
    val engine: EngineConfiguration?,
    val healthPath: String = "/health",
)

/**
 * Properties of the engines of a service. Each runs [slots] requests at once, which share memory for [memoryTokens]
 * tokens. A prefill result is kept for [prefillResultTimeout] and a reservation for at most [maximumReservationTime]; a
 * role change takes [roleChangeDuration].
 */
public data class EngineConfiguration(
    val slots: Int,
    val memoryTokens: Int,
    val prefillResultTimeout: Duration,
    val maximumReservationTime: Duration,
    val roleChangeDuration: Duration,
)

/** Limits on the size and timing of callers' requests. */
public data class CallerLimits(
    val maximumHeaderBytes: Int,
    val maximumBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
