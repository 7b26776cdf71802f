package org.lovageladder.core.forward

/** Finds the route of a request: of the routes for its host, the one with the longest matching path prefix. */
public class RouteTable(configuration: ForwardConfiguration) {
    private val routesByHost: Map<String, List<Route>> =
        configuration.routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }

    /** Route for [host], with or without a port, and [target], a path with or without a query; null if none matches. */
    public fun find(host: String, target: String): Route? {
        val path = target.substringBefore('?')
        return routesByHost[withoutPort(host).lowercase()]?.firstOrNull { path.startsWith(it.prefix) }
    }

    private fun withoutPort(host: String): String {
        val port = host.substringAfterLast(':', "")
        val hasPort = port.isNotEmpty() && port.all(Char::isDigit) && !host.endsWith(']')
        return if (hasPort) host.dropLast(port.length + 1) else host
    }
}

/**
 * Selects one of [shares] with a probability in proportion to its weight. [uniform] is a random number from 0
 * (inclusive) to 1 (exclusive). Returns null when no share has a weight.
 */
public fun selectShare(shares: List<ServiceShare>, uniform: Double): ServiceShare? {
    val total = shares.sumOf { it.weight }
    var remaining = uniform * total
    for (share in shares) {
        remaining -= share.weight
        if (remaining < 0) return share
    }
    return shares.lastOrNull { it.weight > 0 }
}
