package org.lovageladder.core.forward.quota

import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.forward.EntryCounter
import org.lovageladder.core.forward.customer.CustomerDirectory
import org.lovageladder.core.forward.customer.CustomerName
import org.lovageladder.core.forward.messaging.QuotaAsk
import org.lovageladder.core.forward.messaging.QuotaGrant
import org.lovageladder.core.forward.messaging.QuotaMessage
import org.lovageladder.core.forward.messaging.QuotaNotOwned
import org.lovageladder.core.forward.messaging.QuotaRefusal
import org.lovageladder.core.forward.messaging.QuotaReturn
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The entry that keeps the account of customer [name]; null when no entry receives messages. */
internal fun EntryCounter.quotaOwner(name: CustomerName): ProcessName? = owner("quota/${name.text}")

/**
 * The accounts of the customers that this entry, [self], owns. A customer that no entry asked for yet has no account:
 * it begins with what the rate gave since this entry may have become its owner at the latest. Confined to one thread.
 */
internal class QuotaLedger(
    private val self: ProcessName,
    private val entryCounter: EntryCounter,
    private val reach: EntryReachability,
    startedAt: Moment,
) {
    private class Answer(val message: QuotaMessage?, val givenAt: Moment)

    private data class Exchange(val sender: ProcessName, val sequence: Int)

    private val accounts = HashMap<CustomerName, QuotaAccount>()
    private val answers = LinkedHashMap<Exchange, Answer>()
    private var directory: CustomerDirectory? = null
    private var mayHaveGainedAt = startedAt

    /** Number of accounts that this entry keeps. */
    val size: Int get() = accounts.size

    /** Number of exchanges whose answers are kept for repeated messages. */
    val rememberedAnswers: Int get() = answers.size

    /** Replaces the customers; accounts of those without a quota are dropped. */
    fun applyCustomers(newer: CustomerDirectory?, now: Moment) {
        directory = newer
        accounts.entries.removeIf { (name, account) ->
            val quota = newer?.quotaOf(name)
            quota?.let { account.updateQuota(it, now) }
            quota == null
        }
    }

    /** An entry left, or this one was registered, so that this entry may own more customers than before. */
    fun recordOwnershipChange(now: Moment) {
        mayHaveGainedAt = now
    }

    /** Drops the accounts that another entry owns now. They would fill here while the other entry grants. */
    fun dropLostAccounts() {
        accounts.keys.removeIf { entryCounter.quotaOwner(it) != self }
    }

    /** Charges a request of customer [name] at this entry; null when this entry does not own the account. */
    fun charge(name: CustomerName, cost: Int, advance: Int, now: Moment): ChargeResult? =
        accountOf(name, now)?.charge(cost, advance, now).also {
            if (it is ChargeResult.Refused) reach.recordContention(now)
        }

    /** Takes back [tokens] that this entry did not use. */
    fun giveBack(name: CustomerName, tokens: Int, now: Moment) {
        accountOf(name, now)?.giveBack(tokens, now)
    }

    /** The answer to [ask] of [sender]. A repeated message gets the answer of the first. */
    fun answer(sender: ProcessName, ask: QuotaAsk, now: Moment): QuotaMessage {
        removeOldAnswers(now)
        val exchange = Exchange(sender, ask.sequence)
        answers[exchange]?.let { return it.message ?: QuotaNotOwned(ask.sequence) }
        val answer = when (val result = chargeAsked(ask, now)) {
            null -> return QuotaNotOwned(ask.sequence)
            is ChargeResult.Granted -> QuotaGrant(ask.sequence, result.advance)
            is ChargeResult.Refused ->
                QuotaRefusal(ask.sequence, result.retryAfter.inWholeMilliseconds.coerceAtMost(MAXIMUM_RETURN).toInt())
        }
        answers[exchange] = Answer(answer, now)
        return answer
    }

    /** Takes back what [sender] did not use, or charges what it used without a question; a repeated message nothing. */
    fun onReturn(sender: ProcessName, message: QuotaReturn, now: Moment) {
        removeOldAnswers(now)
        val isFirst = answers.putIfAbsent(Exchange(sender, message.sequence), Answer(null, now)) == null
        if (isFirst) giveBack(message.customer, message.tokens, now)
    }

    private fun chargeAsked(ask: QuotaAsk, now: Moment): ChargeResult? = when {
        ask.cost < 0 || ask.advance < 0 -> null
        ask.cost == 0 -> accountOf(ask.customer, now)?.let { ChargeResult.Granted(advance = 0) }
        else -> charge(ask.customer, ask.cost, ask.advance, now)
    }

    private fun accountOf(name: CustomerName, now: Moment): QuotaAccount? {
        val quota = directory?.quotaOf(name)
        if (quota == null || entryCounter.quotaOwner(name) != self) return null
        val account = accounts.getOrPut(name) {
            QuotaAccount(quota, tokens = quota.unitsPerSecond * ((now - mayHaveGainedAt) / 1.seconds), now)
        }
        account.grantedShare = reach.share(now)
        return account
    }

    private fun removeOldAnswers(now: Moment) {
        val oldest = answers.values.iterator()
        while (oldest.hasNext() && now - oldest.next().givenAt > ANSWER_RETENTION) oldest.remove()
    }

    private companion object {
        /** Far beyond the retry of an entry, for messages that the network repeats late. */
        val ANSWER_RETENTION: Duration = 2.seconds
        const val MAXIMUM_RETURN = 3_600_000L
    }
}
