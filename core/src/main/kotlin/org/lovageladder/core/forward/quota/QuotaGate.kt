package org.lovageladder.core.forward.quota

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.forward.Cancellable
import org.lovageladder.core.forward.EntryCounter
import org.lovageladder.core.forward.EventSink
import org.lovageladder.core.forward.Scheduler
import org.lovageladder.core.forward.customer.CustomerDirectory
import org.lovageladder.core.forward.customer.CustomerName
import org.lovageladder.core.forward.customer.CustomerQuota
import org.lovageladder.core.forward.customer.QuotaUnit
import org.lovageladder.core.forward.messaging.EntryMessagePort
import org.lovageladder.core.forward.messaging.QuotaAsk
import org.lovageladder.core.forward.messaging.QuotaGrant
import org.lovageladder.core.forward.messaging.QuotaMessage
import org.lovageladder.core.forward.messaging.QuotaNotOwned
import org.lovageladder.core.forward.messaging.QuotaRefusal
import org.lovageladder.core.forward.messaging.QuotaReturn
import org.lovageladder.core.forward.messaging.ReachabilityProbe
import org.lovageladder.core.forward.messaging.ReachabilityProbeAnswer
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether a request may run within the quota of its customer. */
internal sealed interface QuotaDecision {
    /** The request was charged; [giveBack] undoes that if it is refused without having run. */
    class Admitted(val giveBack: () -> Unit) : QuotaDecision

    /** The quota is used up; the caller should return after [retryAfter]. */
    class Refused(val retryAfter: Duration) : QuotaDecision
}

/**
 * Admits requests within the quotas of their customers, which hold for all entries together. The account of a customer
 * is kept by one entry, its owner, which the others ask through [port]; see docs/design/customer-quotas.md. Confined to
 * one thread.
 */
internal class QuotaGate(
    private val self: ProcessName,
    private val entryCounter: EntryCounter,
    private val scheduler: Scheduler,
    private val port: EntryMessagePort,
    private val eventSink: EventSink,
    private val random: Random,
    val statistics: QuotaStatistics = QuotaStatistics(),
) {
    /** A question to [owner]. [decide] is null when nobody waits for the answer any more. */
    private class OpenAsk(
        val allowance: EntryAllowance,
        val owner: ProcessName,
        val message: QuotaAsk,
        val sentAt: Moment,
        var decide: ((QuotaDecision) -> Unit)?,
    ) {
        var timer: Cancellable? = null
    }

    private val startedAt = scheduler.now()
    private val reach = EntryReachability(self, entryCounter, scheduler, port, random)
    private val ledger = QuotaLedger(self, entryCounter, reach, startedAt)
    private val allowances = HashMap<CustomerName, EntryAllowance>()
    private val openAsks = LinkedHashMap<Int, OpenAsk>()
    private var isOwnershipCheckScheduled = false

    /** Random at first, so that an owner does not take it for a repeated message of an earlier start. */
    private var lastSequence = random.nextInt()

    /** Number of accounts of customers that this entry keeps. */
    val ownedAccounts: Int get() = ledger.size

    /** Number of customers, asks and answers of which this entry keeps state. */
    val trackedItems: Int get() = allowances.size + openAsks.size + ledger.rememberedAnswers

    /** Replaces the customers. */
    fun applyCustomers(newer: CustomerDirectory?) {
        ledger.applyCustomers(newer, scheduler.now())
        allowances.values.removeIf { allowance ->
            val quota = newer?.quotaOf(allowance.name)
            quota?.let { allowance.quota = it }
            quota == null
        }
    }

    /** The entries changed. One that left, or the registration of this one, may make this entry an owner. */
    fun onEntriesChanged(mayBecomeOwner: Boolean) {
        if (mayBecomeOwner) ledger.recordOwnershipChange(scheduler.now())
        if (isOwnershipCheckScheduled) return
        // A full read reports the entries one after the other, and none of them counts before it is reported.
        isOwnershipCheckScheduled = true
        scheduler.schedule(Duration.ZERO) {
            isOwnershipCheckScheduled = false
            ledger.dropLostAccounts()
        }
    }

    /**
     * Passes to [decide], at once or within [ANSWER_TIMEOUT], whether a request of customer [name] for [cost] tokens
     * may run. Returns a call that ends the wait, null when nothing waits.
     */
    fun admit(name: CustomerName, quota: CustomerQuota, cost: Int, decide: (QuotaDecision) -> Unit): Cancellable? {
        val now = scheduler.now()
        val allowance = allowances.getOrPut(name) { EntryAllowance(name, quota) }
        if (allowance.quota != quota) allowance.quota = quota
        val owner = entryCounter.quotaOwner(name)
        return when {
            allowance.tryTake(cost, now) -> grant(allowance, cost, decide)
            owner == null -> chargeShare(allowance, cost, decide)
            owner == self -> chargeOwn(allowance, cost, decide)
            allowance.isSilent(owner) -> {
                if (allowance.isRepeatDue(now)) send(OpenAsk(allowance, owner, newAsk(name, 0, 0), now, decide = null))
                chargeShare(allowance, cost, decide)
            }
            else -> {
                val message = newAsk(name, cost, allowance.missingAdvance(now))
                val ask = OpenAsk(allowance, owner, message, now, decide)
                send(ask)
                Cancellable { ask.decide = null }
            }
        }
    }

    /** Handles [message] of entry [sender]. */
    fun onMessage(sender: ProcessName, message: QuotaMessage) {
        val now = scheduler.now()
        reach.recordHeard(sender, now)
        when (message) {
            is ReachabilityProbe -> port.send(sender, ReachabilityProbeAnswer(message.sequence))
            is ReachabilityProbeAnswer -> Unit
            is QuotaAsk -> port.send(sender, ledger.answer(sender, message, now))
            is QuotaReturn -> ledger.onReturn(sender, message, now)
            is QuotaGrant, is QuotaRefusal, is QuotaNotOwned -> onAnswer(sender, message, now)
        }
    }

    private fun newAsk(name: CustomerName, cost: Int, advance: Int) = QuotaAsk(++lastSequence, name, cost, advance)

    private fun send(ask: OpenAsk) {
        removeOldAsks(ask.sentAt)
        openAsks[ask.message.sequence] = ask
        port.send(ask.owner, ask.message)
        ask.timer = scheduler.schedule(RETRY_DELAY) {
            port.send(ask.owner, ask.message)
            ask.timer = scheduler.schedule(ANSWER_TIMEOUT - RETRY_DELAY) { onNoAnswer(ask) }
        }
    }

    /**
     * If the owner was heard of meanwhile, only these messages were lost, and it is asked again for the next request.
     * The ask stays open for [EntryAllowance.MAXIMUM_AGE], since an answer that comes late still carries tokens.
     */
    private fun onNoAnswer(ask: OpenAsk) {
        ask.timer = null
        ask.allowance.recordUnanswered(ask.owner)
        val isLost = reach.isReceivedSince(ask.owner, ask.sentAt)
        if (!isLost) recordSilence(ask, EntryAllowance.REPEAT_PERIOD, "did not answer")
        decideLocally(ask)
    }

    private fun recordSilence(ask: OpenAsk, repeatIn: Duration, reason: String) {
        val wasSilent = ask.allowance.isSilent(ask.owner)
        ask.allowance.recordSilence(ask.owner, repeatIn, scheduler.now())
        if (wasSilent) return
        val detail = "customer=${ask.allowance.name} owner=${ask.owner} $reason; this entry uses its share"
        eventSink.record(EventDraft(EventKind.QUOTA_OWNER_SILENT, detail = detail))
    }

    private fun decideLocally(ask: OpenAsk) {
        val decide = ask.decide ?: return
        ask.decide = null
        val cost = ask.message.cost
        if (ask.allowance.tryTake(cost, scheduler.now())) {
            grant(ask.allowance, cost, decide)
        } else {
            chargeShare(ask.allowance, cost, decide)
        }
    }

    private fun onAnswer(sender: ProcessName, message: QuotaMessage, now: Moment) {
        val ask = openAsks[message.sequence]?.takeIf { it.owner == sender } ?: return
        openAsks.remove(message.sequence)
        ask.timer?.cancel()
        if (message is QuotaNotOwned) {
            recordSilence(ask, OWNER_DISAGREEMENT, "does not keep the account")
            decideLocally(ask)
            return
        }
        val used = ask.allowance.takeUsedOfShare(sender)
        if (used > 0) port.send(sender, QuotaReturn(++lastSequence, ask.allowance.name, -used))
        if (ask.allowance.recordAnswer(sender)) {
            val detail = "customer=${ask.allowance.name} owner=$sender"
            eventSink.record(EventDraft(EventKind.QUOTA_OWNER_BACK, detail = detail))
        }
        when (message) {
            is QuotaGrant -> onGrant(ask, message, now)
            is QuotaRefusal -> onRefusal(ask, message, now)
            else -> Unit
        }
    }

    private fun onGrant(ask: OpenAsk, grant: QuotaGrant, now: Moment) {
        val decide = ask.decide
        val unused = grant.advance + if (decide == null) ask.message.cost else 0
        if (now - ask.sentAt <= EntryAllowance.MAXIMUM_AGE) addUnused(ask.allowance, unused)
        decide?.let { grant(ask.allowance, ask.message.cost, it) }
    }

    private fun onRefusal(ask: OpenAsk, refusal: QuotaRefusal, now: Moment) {
        ask.allowance.recordOwnerRefusal(now)
        val decide = ask.decide ?: return
        val cost = ask.message.cost
        if (ask.allowance.tryTake(cost, now)) {
            grant(ask.allowance, cost, decide)
        } else {
            refuse(ask.allowance, refusal.retryAfterMilliseconds.milliseconds, decide)
        }
    }

    private fun chargeOwn(allowance: EntryAllowance, cost: Int, decide: (QuotaDecision) -> Unit): Cancellable? =
        when (val result = ledger.charge(allowance.name, cost, advance = 0, scheduler.now())) {
            null -> chargeShare(allowance, cost, decide)
            is ChargeResult.Granted -> grant(allowance, cost, decide)
            is ChargeResult.Refused -> refuse(allowance, result.retryAfter, decide)
        }

    private fun chargeShare(allowance: EntryAllowance, cost: Int, decide: (QuotaDecision) -> Unit): Cancellable? {
        val now = scheduler.now()
        // Without a channel the share is all that this entry ever has, and fills from its start on.
        val since = if (entryCounter.quotaOwner(allowance.name) == null) startedAt else now
        statistics.recordShareDecision(allowance.name)
        when (val result = allowance.chargeShare(cost, ownShare(now), initialDebt(allowance, cost, now), since, now)) {
            is ChargeResult.Refused -> refuse(allowance, result.retryAfter, decide)
            is ChargeResult.Granted -> {
                statistics.recordAdmission(allowance.name, cost)
                decide(QuotaDecision.Admitted { giveBackShare(allowance, cost) })
            }
        }
        return null
    }

    /**
     * Debt with which this entry's share begins. Equal debts at all entries would let each of them admit one request at
     * the same moment, which at many entries is far beyond the quota. A customer that was within its quota is not
     * refused at once, as far as that keeps what all entries admit at that moment below [firstRequestsBound].
     */
    private fun initialDebt(allowance: EntryAllowance, cost: Int, now: Moment): Double {
        val requestsOfAll = entryCounter.count(now) * cost.toDouble()
        val bound = firstRequestsBound(allowance.quota)
        val isAdmitted = !allowance.wasRefusedLately(now) && random.nextDouble() * requestsOfAll < bound
        return if (isAdmitted) -1.0 else random.nextDouble() * cost
    }

    private fun firstRequestsBound(quota: CustomerQuota): Double = when (quota.unit) {
        is QuotaUnit.Tokens -> FIRST_REQUESTS_TOKENS
        QuotaUnit.Requests -> quota.unitsPerSecond * (FIRST_REQUESTS_TIME / 1.seconds)
    }

    /**
     * The part of a quota that this entry admits without the owner. Other entries may not count one that is without the
     * registry for long, which then uses no more than its part of the overage.
     */
    private fun ownShare(now: Moment): Double =
        (if (entryCounter.isOutdated(now)) EntryReachability.STALE_REGISTRY_SHARE else 1.0) / entryCounter.count(now)

    private fun grant(allowance: EntryAllowance, cost: Int, decide: (QuotaDecision) -> Unit): Cancellable? {
        allowance.recordUse(cost, scheduler.now())
        statistics.recordAdmission(allowance.name, cost)
        decide(QuotaDecision.Admitted { giveBack(allowance, cost) })
        return null
    }

    private fun refuse(allowance: EntryAllowance, retryAfter: Duration, decide: (QuotaDecision) -> Unit): Cancellable? {
        statistics.recordRefusal(allowance.name)
        decide(QuotaDecision.Refused(retryAfter))
        return null
    }

    private fun giveBackShare(allowance: EntryAllowance, cost: Int) {
        statistics.recordRefund(allowance.name, cost)
        allowance.giveBackShare(cost, ownShare(scheduler.now()))
    }

    private fun giveBack(allowance: EntryAllowance, cost: Int) {
        statistics.recordRefund(allowance.name, cost)
        addUnused(allowance, cost)
    }

    /** Keeps [tokens] for the next requests; those that stay unused go back to the owner. */
    private fun addUnused(allowance: EntryAllowance, tokens: Int) {
        if (tokens <= 0) return
        val now = scheduler.now()
        if (entryCounter.quotaOwner(allowance.name) == self) {
            ledger.giveBack(allowance.name, tokens, now)
            return
        }
        allowance.add(tokens, now)
        if (!allowance.isReturnScheduled) scheduleReturn(allowance)
    }

    private fun scheduleReturn(allowance: EntryAllowance) {
        val delay = allowance.timeUntilReturn(scheduler.now()) ?: return
        allowance.isReturnScheduled = true
        scheduler.schedule(delay.coerceAtLeast(Duration.ZERO)) {
            allowance.isReturnScheduled = false
            val remaining = allowance.timeUntilReturn(scheduler.now())
            if (remaining != null && remaining <= Duration.ZERO) returnUnused(allowance) else scheduleReturn(allowance)
        }
    }

    private fun returnUnused(allowance: EntryAllowance) {
        val owner = entryCounter.quotaOwner(allowance.name)
        val tokens = allowance.takeAll()
        when (owner) {
            null -> Unit
            self -> ledger.giveBack(allowance.name, tokens, scheduler.now())
            else -> port.send(owner, QuotaReturn(++lastSequence, allowance.name, tokens))
        }
    }

    private fun removeOldAsks(now: Moment) {
        val oldest = openAsks.values.iterator()
        while (oldest.hasNext() && now - oldest.next().sentAt > EntryAllowance.MAXIMUM_AGE) oldest.remove()
    }

    private companion object {
        /** A caller's wait for a lost message; the answer takes 1.5 ms between data centres. */
        val RETRY_DELAY: Duration = 25.milliseconds
        val ANSWER_TIMEOUT: Duration = 60.milliseconds

        /** About half of the 190,000 tokens by which the contract of the customers lets any window be exceeded. */
        const val FIRST_REQUESTS_TOKENS = 100_000.0

        /** Half of the tenth by which the use of a quota may exceed what it allows in eight seconds and a burst. */
        val FIRST_REQUESTS_TIME: Duration = 450.milliseconds

        /** Entries see a change of the registry within 300 ms of each other. */
        val OWNER_DISAGREEMENT: Duration = 200.milliseconds
    }
}
