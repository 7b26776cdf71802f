package org.lovageladder.core.forward.customer

import kotlinx.serialization.Serializable

/*
 * Customers of a deployment: who a caller's key belongs to, how urgent its requests are, and how much it may use.
 */

/** Name of a customer. */
@Serializable
@JvmInline
public value class CustomerName(public val text: String) {
    override fun toString(): String = text
}

/** Secret that a caller sends to identify its customer. Never shown as text, so that it cannot reach a log. */
@JvmInline
public value class CustomerKey(internal val secret: String) {
    override fun toString(): String = "(hidden)"
}

/** A customer. Its [priority], if set, goes before the priority of a route; [quota] is null when it has no limit. */
public data class Customer(val name: CustomerName, val priority: Int? = null, val quota: CustomerQuota? = null)

/** Units a second that a customer may use over all entries together, and how many at once after a pause. */
public data class CustomerQuota(val unitsPerSecond: Double, val burstUnits: Double, val unit: QuotaUnit)

/** What a quota counts. */
public sealed interface QuotaUnit {
    /** Each request counts as one. */
    public data object Requests : QuotaUnit

    /** A request counts as its prompt and maximum output tokens, or as [plainRequestTokens] if it has no prompt. */
    public data class Tokens(val plainRequestTokens: Int) : QuotaUnit
}
