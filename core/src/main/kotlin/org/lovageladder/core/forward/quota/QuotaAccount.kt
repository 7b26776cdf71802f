package org.lovageladder.core.forward.quota

import org.lovageladder.core.Moment
import org.lovageladder.core.forward.TokenBucket
import org.lovageladder.core.forward.customer.CustomerQuota
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What became of a request for tokens. */
internal sealed interface ChargeResult {
    /** The cost was charged, and [advance] tokens with it. */
    data class Granted(val advance: Int) : ChargeResult

    /** The quota is used up; the caller should return after [retryAfter]. */
    data class Refused(val retryAfter: Duration) : ChargeResult
}

/**
 * The account of a customer: a token bucket that may become negative by one request, so that large requests are granted
 * as often as small ones. It begins with [tokens].
 *
 * Advances are tokens that entries hold for requests to come. They are limited to what the customer may use in
 * [ADVANCE_CAPACITY] at once and to its rate over time: together with the time for which an entry may hold them unused,
 * entries then never hold more than 0.8 s of the rate, which is the overage of 0.1 over a window of 8 s.
 */
internal class QuotaAccount(private var quota: CustomerQuota, tokens: Double, now: Moment) {
    /** Part of the quota that this account grants; the rest is left to the entries that are out of reach. */
    var grantedShare = 1.0

    private val bucket = TokenBucket(tokens.coerceAtMost(quota.burstUnits), now)
    private val advances = TokenBucket(advanceCapacity(), now)
    private var promisedUntil = now

    private val rate get() = quota.unitsPerSecond * grantedShare

    /** Replaces the quota; the time until [now] counts at the rate before. */
    fun updateQuota(newer: CustomerQuota, now: Moment) {
        refill(now)
        quota = newer
        refill(now)
    }

    /** Charges [cost] tokens, and up to [advance] tokens more while the account holds plenty. */
    fun charge(cost: Int, advance: Int, now: Moment): ChargeResult {
        refill(now)
        if (bucket.tokens <= 0) return ChargeResult.Refused(promiseReturn(cost, now))
        if (bucket.tokens > reserve()) promisedUntil = now
        bucket.take(cost)
        val granted = minOf(advance.toDouble(), bucket.tokens - reserve(), advances.tokens).toInt().coerceAtLeast(0)
        bucket.take(granted)
        advances.take(granted)
        return ChargeResult.Granted(granted)
    }

    /** Adds [tokens] that were charged and not used, or, if negative, used and not charged. */
    fun giveBack(tokens: Int, now: Moment) {
        refill(now)
        bucket.add(tokens.toDouble(), quota.burstUnits * grantedShare)
    }

    /**
     * Time after which a request for [cost] tokens that is refused now should come again: when the account is positive
     * and has served those that were refused before.
     */
    private fun promiseReturn(cost: Int, now: Moment): Duration {
        val positiveAt = now + bucket.timeUntil(0, rate) + ROUNDING
        val returnAt = maxOf(positiveAt, promisedUntil)
        val servedAt = returnAt + (cost / rate).seconds
        promisedUntil = minOf(servedAt, maxOf(now + LONGEST_QUEUE, returnAt))
        return returnAt - now
    }

    private fun refill(now: Moment) {
        bucket.refill(rate, quota.burstUnits * grantedShare, now)
        advances.refill(rate, advanceCapacity(), now)
    }

    private fun reserve() = rate * (RESERVE / 1.seconds)

    private fun advanceCapacity() = rate * (ADVANCE_CAPACITY / 1.seconds)

    private companion object {
        /** What an account keeps for requests at other entries before it grants advances. */
        val RESERVE: Duration = 250.milliseconds
        val ADVANCE_CAPACITY: Duration = 300.milliseconds

        /** Callers that are refused later than this are all told the same time; few wait longer. */
        val LONGEST_QUEUE: Duration = 8.seconds

        /** Makes the account positive, not just zero, when the caller returns. */
        val ROUNDING: Duration = 1.milliseconds
    }
}
