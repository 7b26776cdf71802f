package org.lovageladder.daemon

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.lovageladder.core.forward.Forwarder
import org.lovageladder.core.forward.quota.QuotaCounters

/** Registers the metrics of the quotas of [forwarder], whose statistics bound the number of labels. */
internal fun registerQuotaMeters(forwarder: Forwarder, registry: MeterRegistry) {
    Gauge.builder("lovageladder.quota.accounts", forwarder) { it.ownedQuotaAccounts.toDouble() }.register(registry)
    forwarder.quotaStatistics.onNewLabel = { customer, counters ->
        fun count(name: String, value: (QuotaCounters) -> Long) =
            FunctionCounter.builder("lovageladder.quota.$name", counters) { value(it).toDouble() }
                .tag("customer", customer)
                .register(registry)
        count("admitted.tokens") { it.admittedTokens.get() }
        count("refunded.tokens") { it.refundedTokens.get() }
        count("refused.requests") { it.refusedRequests.get() }
        count("share.decisions") { it.shareDecisions.get() }
    }
}
