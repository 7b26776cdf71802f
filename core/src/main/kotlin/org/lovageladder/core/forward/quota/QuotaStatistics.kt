package org.lovageladder.core.forward.quota

import org.lovageladder.core.forward.customer.CustomerName
import java.util.concurrent.atomic.AtomicLong

/** What was decided on the requests of one customer, or of all customers after the first ones. Read by any thread. */
public class QuotaCounters {
    /** Tokens of admitted requests. */
    public val admittedTokens: AtomicLong = AtomicLong()

    /** Tokens given back because the request was refused without having run. */
    public val refundedTokens: AtomicLong = AtomicLong()

    /** Requests refused because the quota was used up. */
    public val refusedRequests: AtomicLong = AtomicLong()

    /** Requests decided by this entry's share, since the owner of the account did not answer. */
    public val shareDecisions: AtomicLong = AtomicLong()
}

/**
 * Counts decisions on quotas by customer. The first [LABELED_CUSTOMERS] customers have counters of their own and the
 * others share one, so that the number of metrics is bounded.
 */
public class QuotaStatistics {
    private val counters = HashMap<CustomerName, QuotaCounters>()
    private val others by lazy(LazyThreadSafetyMode.NONE) { QuotaCounters().also { onNewLabel(OTHERS, it) } }

    /** Called with the label of new counters. */
    public var onNewLabel: (String, QuotaCounters) -> Unit = { _, _ -> }

    internal fun recordAdmission(name: CustomerName, tokens: Int) {
        countersOf(name).admittedTokens.addAndGet(tokens.toLong())
    }

    internal fun recordRefund(name: CustomerName, tokens: Int) {
        countersOf(name).refundedTokens.addAndGet(tokens.toLong())
    }

    internal fun recordRefusal(name: CustomerName) {
        countersOf(name).refusedRequests.incrementAndGet()
    }

    internal fun recordShareDecision(name: CustomerName) {
        countersOf(name).shareDecisions.incrementAndGet()
    }

    private fun countersOf(name: CustomerName): QuotaCounters {
        counters[name]?.let { return it }
        if (counters.size >= LABELED_CUSTOMERS) return others
        return QuotaCounters().also {
            counters[name] = it
            onNewLabel(name.text, it)
        }
    }

    private companion object {
        const val LABELED_CUSTOMERS = 100

        /** No valid name of a customer, so that it cannot be mistaken for one. */
        const val OTHERS = "(others)"
    }
}
