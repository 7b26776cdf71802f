package org.lovageladder.core.forward.customer

import org.lovageladder.core.forward.ForwardConfiguration
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.core.forward.Route
import org.lovageladder.core.forward.RouteTable

/**
 * Decides by the configuration in force whether a request may be sent, and finds its customer. A configuration without
 * customers admits every request. Confined to one thread.
 */
internal class KeyCheck {
    private var customers: CustomerDirectory? = null
    private var routes: RouteTable? = null

    /** Number of requests that were refused for their key. */
    var refusedRequests: Long = 0
        private set

    /** Number of customers; 0 when none are configured. */
    val customerCount: Int get() = customers?.customerCount ?: 0

    /** Whether the registry is out of reach, so that a newer configuration may exist. */
    var isRegistryLost = false

    /** Uses [configuration], whose routes are [routes], from now on. */
    fun update(configuration: ForwardConfiguration, routes: RouteTable) {
        customers = configuration.customers
        this.routes = routes
    }

    /**
     * Sets the customer of [request], which was accepted for [acceptedFor]. Returns why the request is to be refused,
     * null if it may be sent. While the registry is lost, an unknown key may be one of a configuration that this
     * process has not seen, so the caller is told to return.
     */
    fun check(request: ForwardRequest, acceptedFor: Route): RefusalReason? {
        val directory = customers
        val customer = request.key?.let { directory?.find(it) }
        val isAdmitted = directory == null || customer != null || isPublic(request, acceptedFor)
        return when {
            isAdmitted -> {
                request.customer = customer
                request.mayPassIdentity = directory == null
                null
            }
            request.key != null && isRegistryLost -> RefusalReason.NOT_READY
            else -> RefusalReason.UNKNOWN_KEY
        }
    }

    /** Counts a request that is refused for its key. */
    fun countRefusal() {
        refusedRequests += 1
    }

    /** Whether callers of the route need no key now. A route that was removed meanwhile stays as it was. */
    private fun isPublic(request: ForwardRequest, acceptedFor: Route): Boolean =
        (routes?.find(request.host, request.target) ?: acceptedFor).isPublic
}
