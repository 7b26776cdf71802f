package org.lovageladder.core.forward.quota

import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.forward.TokenBucket
import org.lovageladder.core.forward.customer.CustomerName
import org.lovageladder.core.forward.customer.CustomerQuota
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What this entry may use of the quota of customer [name]: tokens that the owner of the account granted in advance, and
 * a bucket of its own for the time in which the owner does not answer.
 */
internal class EntryAllowance(val name: CustomerName, quota: CustomerQuota) {
    private class Use(val at: Moment, val tokens: Int)

    private val recentUses = ArrayDeque<Use>()
    private var recentlyUsed = 0L
    private var tokens = 0L
    private var grantedAt: Moment? = null
    private var usedAt: Moment? = null
    private var fallbackBucket: TokenBucket? = null
    private var silentOwner: ProcessName? = null
    private var nextAskAt: Moment? = null
    private var refusedAt: Moment? = null
    private var unansweredBy: ProcessName? = null
    private var usedOfShare = 0L
    private var usedOfShareBefore = 0L

    /** The quota of the customer. A lower one clears the allowance. */
    var quota: CustomerQuota = quota
        set(newer) {
            val isLower = newer.unitsPerSecond < field.unitsPerSecond || newer.burstUnits < field.burstUnits
            if (isLower || newer.unit != field.unit) tokens = 0
            field = newer
        }

    /** Whether a return of unused tokens is scheduled. */
    var isReturnScheduled = false

    /** Takes [cost] tokens from the allowance, if it covers them. */
    fun tryTake(cost: Int, now: Moment): Boolean {
        dropOutdated(now)
        if (tokens < cost) return false
        tokens -= cost
        usedAt = now
        return true
    }

    /** Adds [count] tokens that the owner granted, or that a request which did not run gave back. */
    fun add(count: Int, now: Moment) {
        dropOutdated(now)
        tokens += count
        grantedAt = now
    }

    /** Records a request of [cost] tokens, whether from the allowance or granted by the owner. */
    fun recordUse(cost: Int, now: Moment) {
        removeOldUses(now)
        recentUses += Use(now, cost)
        recentlyUsed += cost
    }

    /** What this entry used lately beyond what it holds: the advance to ask for. */
    fun missingAdvance(now: Moment): Int {
        removeOldUses(now)
        return (recentlyUsed - tokens).coerceIn(0, MAXIMUM_ADVANCE).toInt()
    }

    /** Time until the allowance has been unused for so long that it goes back to the owner; null if it is empty. */
    fun timeUntilReturn(now: Moment): Duration? {
        dropOutdated(now)
        val since = listOfNotNull(usedAt, grantedAt).maxOrNull() ?: return null
        return (since + UNUSED_PERIOD - now).takeIf { tokens > 0 }
    }

    /** Takes the whole allowance. */
    fun takeAll(): Int = tokens.coerceAtMost(Int.MAX_VALUE.toLong()).toInt().also { tokens = 0 }

    /** Whether [owner] left the last question unanswered and has not answered since. */
    fun isSilent(owner: ProcessName): Boolean = silentOwner == owner

    /** [owner] did not answer, or does not keep the account. It is asked again after [repeatIn]. */
    fun recordSilence(owner: ProcessName, repeatIn: Duration, now: Moment) {
        if (silentOwner != owner) fallbackBucket = null
        silentOwner = owner
        nextAskAt = now + repeatIn
    }

    /** [owner] answered. Returns whether it was silent before. */
    fun recordAnswer(owner: ProcessName): Boolean {
        if (silentOwner != owner) return false
        silentOwner = null
        fallbackBucket = null
        return true
    }

    /** Whether the silent owner should be asked again at [now]; then not again for [REPEAT_PERIOD]. */
    fun isRepeatDue(now: Moment): Boolean {
        val isDue = nextAskAt?.let { now >= it } ?: true
        if (isDue) {
            nextAskAt = now + REPEAT_PERIOD
            usedOfShareBefore = usedOfShare
            usedOfShare = 0
        }
        return isDue
    }

    /**
     * What was charged to this entry's share lately while [owner] did not answer, for it to charge; then 0. After a
     * long silence that is the use of no more than two seconds, so that the customer is not refused for long for what
     * it used meanwhile. Another owner begins with an empty account, and charges nothing.
     */
    fun takeUsedOfShare(owner: ProcessName): Int {
        val used = if (owner == unansweredBy) usedOfShareBefore + usedOfShare else 0
        usedOfShareBefore = 0
        usedOfShare = 0
        return used.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
    }

    /** [owner] left a question unanswered, so that it is told of what is charged to this entry's share. */
    fun recordUnanswered(owner: ProcessName) {
        if (owner != unansweredBy) {
            usedOfShareBefore = 0
            usedOfShare = 0
        }
        unansweredBy = owner
    }

    /** The owner refused a request of this entry. */
    fun recordOwnerRefusal(now: Moment) {
        refusedAt = now
    }

    /** Whether the customer was lately known to be at its limit. */
    fun wasRefusedLately(now: Moment): Boolean = refusedAt?.let { now - it < REFUSAL_RETENTION } ?: false

    /**
     * Charges this entry's share, [share] of all, for a request of [cost] tokens. The bucket begins at [since] with
     * [initialDebt].
     */
    fun chargeShare(cost: Int, share: Double, initialDebt: Double, since: Moment, now: Moment): ChargeResult {
        val rate = quota.unitsPerSecond * share
        val bucket = fallbackBucket ?: TokenBucket(-initialDebt, since).also { fallbackBucket = it }
        bucket.refill(rate, quota.burstUnits * share, now)
        if (bucket.tokens <= 0) return ChargeResult.Refused(bucket.timeUntil(0, rate) + ROUNDING)
        bucket.take(cost)
        usedOfShare += cost
        return ChargeResult.Granted(advance = 0)
    }

    /** Gives [cost] tokens back to this entry's [share]; nothing if the owner answers again. */
    fun giveBackShare(cost: Int, share: Double) {
        fallbackBucket?.add(cost.toDouble(), quota.burstUnits * share)
    }

    private fun removeOldUses(now: Moment) {
        while (recentUses.firstOrNull()?.let { now - it.at > ADVANCE_PERIOD } == true) {
            recentlyUsed -= recentUses.removeFirst().tokens
        }
    }

    /** An entry that was suspended must not use what the owner may have granted to others since. */
    private fun dropOutdated(now: Moment) {
        if (grantedAt?.let { now - it > MAXIMUM_AGE } == true) tokens = 0
    }

    companion object {
        /** A silent owner is asked once in this time. */
        val REPEAT_PERIOD: Duration = 1.seconds

        /** An allowance that was neither used nor refilled for this long is not used any more. */
        val MAXIMUM_AGE: Duration = 1.seconds
        private val ADVANCE_PERIOD: Duration = 300.milliseconds
        private val REFUSAL_RETENTION: Duration = 5.seconds
        private val UNUSED_PERIOD: Duration = 500.milliseconds
        private val ROUNDING: Duration = 1.milliseconds
        private const val MAXIMUM_ADVANCE = 1_000_000_000L
    }
}
