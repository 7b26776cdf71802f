package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Writes the answers of claimed calls to the key-value service, so that a repeated key gets its first answer even after
 * this process has ended. A write whose result is not known is retried until the stored value is known.
 */
internal class ClaimAnswerWriter(private val context: CompanionContext) {
    private class PendingAnswer(val claim: ClaimTicket, val record: ClaimRecord) {
        var callNumber: Long? = null
        var writeAt: Moment = Moment(0)
        var backoff: Duration = INITIAL_BACKOFF
    }

    private val pending = LinkedHashMap<String, PendingAnswer>()
    private val storeKeysByCall = HashMap<Long, String>()

    val isEmpty: Boolean get() = pending.isEmpty()

    fun isPending(storeKey: String): Boolean = storeKey in pending

    fun enqueue(claim: ClaimTicket, answer: PlainAnswer) {
        val entry = PendingAnswer(claim, claim.record.copy(answer = answer))
        entry.writeAt = context.now
        pending[claim.storeKey] = entry
    }

    /** Sends the writes that are due. */
    fun advance() {
        for (entry in pending.values) {
            if (entry.callNumber == null && entry.writeAt <= context.now) write(entry)
        }
    }

    /** Handles the answer to [callNumber]; false when another component sent that request. */
    fun onStoreAnswer(callNumber: Long, answer: StoreAnswer): Boolean {
        val storeKey = storeKeysByCall.remove(callNumber) ?: return false
        val entry = pending[storeKey] ?: return true
        entry.callNumber = null
        when (answer) {
            is StoreAnswer.Written -> pending.remove(storeKey)
            is StoreAnswer.Conflict -> onConflict(entry, answer)
            is StoreAnswer.Unavailable, is StoreAnswer.Found, is StoreAnswer.Leased -> scheduleRetry(entry)
        }
        return true
    }

    fun nextDeadline(): Moment? = pending.values.filter { it.callNumber == null }.minOfOrNull { it.writeAt }

    private fun write(entry: PendingAnswer) {
        val callNumber = context.output.nextStoreCallNumber()
        entry.callNumber = callNumber
        storeKeysByCall[callNumber] = entry.claim.storeKey
        val value = encodeClaim(entry.record)
        val request = StoreRequest.Replace(StoreWrite(entry.claim.storeKey, value), entry.claim.revision)
        context.output.add(CompanionEffect.CallStore(callNumber, request, context.settings.storeTimeout))
    }

    /**
     * The claim has another value: this answer, from an earlier write that was not confirmed, or that of another claim.
     */
    private fun onConflict(entry: PendingAnswer, conflict: StoreAnswer.Conflict) {
        pending.remove(entry.claim.storeKey)
        val current = conflict.current.firstOrNull { it.key == entry.claim.storeKey }
        if (current != null && decodeClaim(current.value) == entry.record) return
        context.output.record(
            EventKind.CLAIM_UNKNOWN,
            AttemptId(entry.record.request, 0),
            detail = "answer of ${entry.claim.storeKey} not stored: the claim has another value or expired",
        )
    }

    private fun scheduleRetry(entry: PendingAnswer) {
        entry.writeAt = context.now + entry.backoff
        entry.backoff = (entry.backoff * 2).coerceAtMost(MAXIMUM_BACKOFF)
    }

    private companion object {
        val INITIAL_BACKOFF: Duration = 100.milliseconds
        val MAXIMUM_BACKOFF: Duration = 5.seconds
    }
}
