package org.lovageladder.core.forward.messaging

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lovageladder.core.forward.customer.CustomerName

/*
 * Messages about the quotas of customers between an entry and the owner of a customer's account. Names are short, since
 * most requests of a customer with a quota cause two of these messages.
 */

/** A message about the quota of a customer. A repeated message has the same [sequence] as the first. */
@Serializable
public sealed interface QuotaMessage : EntryMessage {
    /** Number that the entry, not the owner, gave to the exchange. */
    public val sequence: Int
}

/**
 * To the owner: a request of [customer] for [cost] units waits; the sender would like [advance] units more for those
 * that follow. A [cost] of 0 only asks whether the owner answers.
 */
@Serializable
@SerialName("qa")
public data class QuotaAsk(
    @SerialName("s") override val sequence: Int,
    @SerialName("c") val customer: CustomerName,
    @SerialName("n") val cost: Int,
    @SerialName("a") val advance: Int = 0,
) : QuotaMessage

/**
 * To the owner: the sender did not use [tokens] units of its allowance. Fewer than 0 were used without a question while
 * the owner did not answer.
 */
@Serializable
@SerialName("qt")
public data class QuotaReturn(
    @SerialName("s") override val sequence: Int,
    @SerialName("c") val customer: CustomerName,
    @SerialName("n") val tokens: Int,
) : QuotaMessage

/** From the owner: the cost that was asked for is granted, and [advance] units with it. */
@Serializable
@SerialName("qg")
public data class QuotaGrant(@SerialName("s") override val sequence: Int, @SerialName("a") val advance: Int = 0) :
    QuotaMessage

/** From the owner: the customer has used up its quota. The caller should return in [retryAfterMilliseconds]. */
@Serializable
@SerialName("qr")
public data class QuotaRefusal(
    @SerialName("s") override val sequence: Int,
    @SerialName("r") val retryAfterMilliseconds: Int,
) : QuotaMessage

/** From an entry that does not keep the account of the customer. */
@Serializable
@SerialName("qn")
public data class QuotaNotOwned(@SerialName("s") override val sequence: Int) : QuotaMessage

/** Asks an entry whether it is within reach. */
@Serializable
@SerialName("qc")
public data class ReachabilityProbe(@SerialName("s") override val sequence: Int) : QuotaMessage

/** Answer to a [ReachabilityProbe]. */
@Serializable
@SerialName("qk")
public data class ReachabilityProbeAnswer(@SerialName("s") override val sequence: Int) : QuotaMessage
