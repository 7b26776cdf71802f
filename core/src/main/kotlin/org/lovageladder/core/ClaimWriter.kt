package org.lovageladder.core

import kotlin.time.Duration.Companion.milliseconds

/** What became of the creation of a claim. */
internal sealed interface ClaimAnswer {
    /** The claim is ours, written at [revision]. */
    data class Ours(val revision: Long) : ClaimAnswer

    /** Another submission claimed the key before. */
    data class Theirs(val entry: StoredEntry) : ClaimAnswer

    /** The key-value service gave no answer; the claim may stand. */
    data class Unavailable(val fault: Fault) : ClaimAnswer

    /** The key-value service is not answering at present and was not asked. */
    data class NotAsked(val fault: Fault) : ClaimAnswer
}

/**
 * Creates claims in the key-value service. While one transaction is in flight, further claims wait and share the
 * next one, so that the rate of calls is bounded by the service's latency and not by the rate of actions. Claims
 * expire with a lease that many of them share.
 *
 * After a call without an answer, new claims are turned away at once while a further call is in flight and for
 * [DOUBT] after it, so that callers need not wait for a service that is away. Confined to one thread.
 */
internal class ClaimWriter(private val settings: EntrySettings, private val output: EntryOutput) {
    private class Pending(val write: StoreWrite, val answered: (ClaimAnswer, Moment) -> Unit)

    private val waiting = ArrayDeque<Pending>()
    private var inFlight = false
    private var lease: Long? = null
    private var leaseSince = Moment(0)
    private var doubt: Fault? = null
    private var doubtUntil = Moment(0)

    /** Creates [record] at [storeKey] unless the key exists; a [repeated] call is made whatever the doubt. */
    fun create(
        storeKey: String,
        record: ClaimRecord,
        now: Moment,
        repeated: Boolean,
        answered: (ClaimAnswer, Moment) -> Unit,
    ) {
        val inDoubt = doubt?.takeIf { inFlight || now < doubtUntil }
        if (inDoubt != null && !repeated) {
            answered(ClaimAnswer.NotAsked(inDoubt), now)
            return
        }
        waiting += Pending(StoreWrite(storeKey, encodeClaim(record)), answered)
        send(now)
    }

    private fun send(now: Moment) {
        if (inFlight || waiting.isEmpty()) return
        inFlight = true
        val current = lease
        if (current == null || now - leaseSince > settings.claimLeaseTimeToLive * LEASE_SHARED_PART) {
            output.askStore(StoreRequest.GrantLease(settings.claimLeaseTimeToLive), settings.storeTimeout, ::leased)
        } else {
            write(current)
        }
    }

    private fun judge(answer: StoreAnswer, now: Moment) {
        doubt = (answer as? StoreAnswer.Unavailable)?.fault
        doubtUntil = now + DOUBT
    }

    private fun leased(answer: StoreAnswer, now: Moment) {
        judge(answer, now)
        if (answer is StoreAnswer.Leased) {
            lease = answer.lease
            leaseSince = now
            write(answer.lease)
            return
        }
        inFlight = false
        val fault = faultOf(answer)
        val failed = waiting.toList()
        waiting.clear()
        failed.forEach { it.answered(ClaimAnswer.Unavailable(fault), now) }
    }

    private fun write(lease: Long) {
        val batch = distinctKeys()
        val request = StoreRequest.Create(batch.map { it.write }, lease)
        output.askStore(request, settings.storeTimeout) { answer, now -> written(batch, answer, now) }
    }

    /** Takes up to [BATCH_LIMIT] waiting claims; of two with one key the second waits for the next transaction. */
    private fun distinctKeys(): List<Pending> {
        val keys = mutableSetOf<String>()
        val batch = waiting.filter { keys.size < BATCH_LIMIT && keys.add(it.write.key) }
        waiting.removeAll(batch.toSet())
        return batch
    }

    private fun written(batch: List<Pending>, answer: StoreAnswer, now: Moment) {
        inFlight = false
        judge(answer, now)
        when (answer) {
            is StoreAnswer.Written -> batch.forEach { it.answered(ClaimAnswer.Ours(answer.revision), now) }
            is StoreAnswer.Conflict -> conflict(batch, answer.current.associateBy { it.key }, now)
            is StoreAnswer.Unavailable -> batch.forEach { it.answered(ClaimAnswer.Unavailable(answer.fault), now) }
            is StoreAnswer.Found, is StoreAnswer.Leased -> {
                val fault = faultOf(answer)
                batch.forEach { it.answered(ClaimAnswer.Unavailable(fault), now) }
            }
        }
        send(now)
    }

    private fun conflict(batch: List<Pending>, current: Map<String, StoredEntry>, now: Moment) {
        val free = batch.filter { it.write.key !in current }
        free.asReversed().forEach(waiting::addFirst)
        batch.forEach { pending ->
            val entry = current[pending.write.key] ?: return@forEach
            val ours = entry.value == pending.write.value
            pending.answered(if (ours) ClaimAnswer.Ours(entry.revision) else ClaimAnswer.Theirs(entry), now)
        }
    }

    private fun faultOf(answer: StoreAnswer): Fault = when (answer) {
        is StoreAnswer.Unavailable -> answer.fault
        else -> Fault(Step.STORE, STORE_PEER, FaultCause.PROTOCOL, "unexpected answer")
    }

    private companion object {
        const val BATCH_LIMIT = 64
        val DOUBT = 500.milliseconds
        const val LEASE_SHARED_PART = 0.02
    }
}

/** Name under which faults mention the key-value service. */
internal const val STORE_PEER: String = "key-value service"
