package org.lovageladder.core

import kotlin.time.Duration.Companion.milliseconds

/** Result of creating a claim. */
internal sealed interface ClaimResult {
    /** The claim was created at [revision]. */
    data class Created(val revision: Long) : ClaimResult

    /** Another submission has already claimed the key; [entry] is its claim. */
    data class AlreadyClaimed(val entry: StoredEntry) : ClaimResult

    /** The key-value service gave no answer; the claim may have been created. */
    data class Unavailable(val fault: Fault) : ClaimResult

    /** The request was not sent, since the key-value service is unavailable. */
    data class NotSent(val fault: Fault) : ClaimResult
}

/**
 * Creates claims in the key-value service. While one transaction is in flight, further claims wait and share the
 * next one, so that the rate of transactions is limited by the service's latency instead of by the request rate.
 * Claims expire with a lease that many of them share.
 *
 * After a call without an answer, new claims fail at once while a further call is in flight and for [SKIP_PERIOD]
 * after the last failure, so that callers don't wait for a service that is unavailable. Confined to one thread.
 */
internal class ClaimWriter(private val settings: EntrySettings, private val output: EntryOutput) {
    private class PendingClaim(val write: StoreWrite, val onResult: (ClaimResult, Moment) -> Unit)

    private val waiting = ArrayDeque<PendingClaim>()
    private var isCallInFlight = false
    private var lease: Long? = null
    private var leaseGrantedAt = Moment(0)
    private var storeFault: Fault? = null
    private var skipUntil = Moment(0)

    /** Creates [record] at [storeKey] unless the key exists. A retry is sent even while the service is unavailable. */
    fun create(
        storeKey: String,
        record: ClaimRecord,
        now: Moment,
        isRetry: Boolean,
        onResult: (ClaimResult, Moment) -> Unit,
    ) {
        val skipReason = storeFault?.takeIf { isCallInFlight || now < skipUntil }
        if (skipReason != null && !isRetry) {
            onResult(ClaimResult.NotSent(skipReason), now)
            return
        }
        waiting += PendingClaim(StoreWrite(storeKey, encodeClaim(record)), onResult)
        send(now)
    }

    private fun send(now: Moment) {
        if (isCallInFlight || waiting.isEmpty()) return
        isCallInFlight = true
        val current = lease
        if (current == null || now - leaseGrantedAt > settings.claimLeaseTimeToLive * LEASE_SHARED_FRACTION) {
            output.callStore(
                StoreRequest.GrantLease(settings.claimLeaseTimeToLive),
                settings.storeTimeout,
                ::onLeaseAnswer,
            )
        } else {
            writeBatch(current)
        }
    }

    private fun updateAvailability(answer: StoreAnswer, now: Moment) {
        storeFault = (answer as? StoreAnswer.Unavailable)?.fault
        skipUntil = now + SKIP_PERIOD
    }

    private fun onLeaseAnswer(answer: StoreAnswer, now: Moment) {
        updateAvailability(answer, now)
        if (answer is StoreAnswer.Leased) {
            lease = answer.lease
            leaseGrantedAt = now
            writeBatch(answer.lease)
            return
        }
        isCallInFlight = false
        val fault = faultOf(answer)
        val failed = waiting.toList()
        waiting.clear()
        failed.forEach { it.onResult(ClaimResult.Unavailable(fault), now) }
    }

    private fun writeBatch(lease: Long) {
        val batch = takeBatch()
        val request = StoreRequest.Create(batch.map { it.write }, lease)
        output.callStore(request, settings.storeTimeout) { answer, now -> onWriteAnswer(batch, answer, now) }
    }

    /** Takes up to [MAXIMUM_BATCH_SIZE] waiting claims. Of two with one key, the second waits for the next batch. */
    private fun takeBatch(): List<PendingClaim> {
        val keys = mutableSetOf<String>()
        val batch = waiting.filter { keys.size < MAXIMUM_BATCH_SIZE && keys.add(it.write.key) }
        waiting.removeAll(batch.toSet())
        return batch
    }

    private fun onWriteAnswer(batch: List<PendingClaim>, answer: StoreAnswer, now: Moment) {
        isCallInFlight = false
        updateAvailability(answer, now)
        when (answer) {
            is StoreAnswer.Written -> batch.forEach { it.onResult(ClaimResult.Created(answer.revision), now) }
            is StoreAnswer.Conflict -> onConflict(batch, answer.current.associateBy { it.key }, now)
            is StoreAnswer.Unavailable -> batch.forEach { it.onResult(ClaimResult.Unavailable(answer.fault), now) }
            is StoreAnswer.Found, is StoreAnswer.Leased -> {
                val fault = faultOf(answer)
                batch.forEach { it.onResult(ClaimResult.Unavailable(fault), now) }
            }
        }
        send(now)
    }

    private fun onConflict(batch: List<PendingClaim>, current: Map<String, StoredEntry>, now: Moment) {
        val free = batch.filter { it.write.key !in current }
        free.asReversed().forEach(waiting::addFirst)
        batch.forEach { pending ->
            val entry = current[pending.write.key] ?: return@forEach
            val isOurs = entry.value == pending.write.value
            pending.onResult(
                if (isOurs) ClaimResult.Created(entry.revision) else ClaimResult.AlreadyClaimed(entry),
                now,
            )
        }
    }

    private fun faultOf(answer: StoreAnswer): Fault = when (answer) {
        is StoreAnswer.Unavailable -> answer.fault
        else -> Fault(Step.STORE, STORE_PEER, FaultCause.PROTOCOL, "unexpected answer")
    }

    private companion object {
        const val MAXIMUM_BATCH_SIZE = 64
        val SKIP_PERIOD = 500.milliseconds

        /** Fraction of a lease's time to live during which new claims share it. */
        const val LEASE_SHARED_FRACTION = 0.02
    }
}

/** Peer name of the key-value service in faults. */
internal const val STORE_PEER: String = "key-value service"
