package org.lovageladder.core.forward.customer

import org.lovageladder.core.forward.Route

/**
 * Order in which waiting requests are served, the smallest first: the priority of the customer decides, then that of
 * the route. Without customers, all requests have the same [customer] priority, so that the route's decides alone.
 */
internal data class RequestPriority(val customer: Int, val route: Int) : Comparable<RequestPriority> {
    override fun compareTo(other: RequestPriority): Int = compareValuesBy(this, other, { it.customer }, { it.route })

    companion object {
        /** Resumed streams come before all streams that have not begun. */
        val RESUMED: RequestPriority = RequestPriority(Int.MIN_VALUE, Int.MIN_VALUE)

        /** Priority of a customer whose configuration names none, as of a route. */
        private const val DEFAULT_CUSTOMER_PRIORITY = 0

        /** On public routes anyone may send requests without a key; these must not displace those of customers. */
        private const val NO_CUSTOMER_PRIORITY = Int.MAX_VALUE

        /** Priority of a request of [customer], null when it belongs to none, on [route]. */
        fun of(customer: Customer?, route: Route): RequestPriority {
            val customerPriority = customer?.let { it.priority ?: DEFAULT_CUSTOMER_PRIORITY } ?: NO_CUSTOMER_PRIORITY
            return RequestPriority(customerPriority, route.priority)
        }
    }
}
