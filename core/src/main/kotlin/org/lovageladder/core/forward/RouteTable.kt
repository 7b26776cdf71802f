package org.lovageladder.core.forward

/** Finds the route of a request: of the routes of its host, the one whose prefix is the longest that fits its path. */
public class RouteTable(configuration: Configuration) {
    private val byHost: Map<String, List<Route>> =
        configuration.routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }

    /** The route for [host], which may name a port, and [target], a path with or without a query; null if none fits. */
    public fun find(host: String, target: String): Route? {
        val path = target.substringBefore('?')
        return byHost[withoutPort(host).lowercase()]?.firstOrNull { path.startsWith(it.prefix) }
    }

    private fun withoutPort(host: String): String {
        val port = host.substringAfterLast(':', "")
        val hasPort = port.isNotEmpty() && port.all(Char::isDigit) && !host.endsWith(']')
        return if (hasPort) host.dropLast(port.length + 1) else host
    }
}

/** Draws one of [shares] in proportion to their weights; [draw] is uniform in 0 until 1. Null when there is none. */
public fun drawShare(shares: List<ServiceShare>, draw: Double): ServiceShare? {
    val total = shares.sumOf { it.weight }
    var remaining = draw * total
    for (share in shares) {
        remaining -= share.weight
        if (remaining < 0) return share
    }
    return shares.lastOrNull { it.weight > 0 }
}
