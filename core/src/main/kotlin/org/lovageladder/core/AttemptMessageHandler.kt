package org.lovageladder.core

import kotlin.time.Duration

/** Why a companion refuses all new work, and when to retry. */
internal class NewWorkRefusal(val cause: FaultCause, val detail: String, val retryAfter: Duration)

/**
 * Handles the messages with which an entry starts, uses and cancels attempts. A message that starts a known attempt
 * again is ignored, whether the attempt is open or has ended.
 */
internal class AttemptMessageHandler(
    private val context: CompanionContext,
    private val upstreams: HostUpstreams,
    private val claims: ClaimedCalls,
) {
    private val attempts = context.attempts

    fun reserve(connection: ConnectionId, message: PeerMessage.Reserve, refusal: NewWorkRefusal?) {
        if (attempts.isKnown(message.attempt)) return
        val start = NewAttempt(connection, message.attempt, message.upstream, Step.RESERVE)
        findUsable<DecodeScheduler>(start, refusal)?.reserve(connection, message)
    }

    fun startPrefill(connection: ConnectionId, message: PeerMessage.StartPrefill, refusal: NewWorkRefusal?) {
        if (attempts.isKnown(message.attempt)) return
        val start = NewAttempt(connection, message.attempt, message.upstream, Step.PREFILL)
        findUsable<PrefillScheduler>(start, refusal)?.start(connection, message)
    }

    fun startPlain(connection: ConnectionId, message: PeerMessage.StartPlain, refusal: NewWorkRefusal?) {
        if (attempts.isKnown(message.attempt)) return
        val start = NewAttempt(connection, message.attempt, message.upstream, Step.PLAIN_CALL)
        val scheduler = findUsable<PlainScheduler>(start, refusal)
        if (scheduler == null) message.claim?.let { voidClaim(it.storeKey, it.number) }
        scheduler?.start(connection, message)
    }

    fun startDecode(connection: ConnectionId, message: PeerMessage.StartDecode) {
        val attempt = message.attempt
        val openAttempt = attempts.find(attempt)
        val ending = attempts.ending(attempt)
        when {
            openAttempt != null -> (openAttempt.scheduler as? DecodeScheduler)?.startDecode(connection, message)
            ending == AttemptEnding.ANSWERED || ending == AttemptEnding.CANCELLED -> Unit
            else -> {
                val start = NewAttempt(connection, attempt, null, Step.DECODE)
                refuse(start, FaultCause.EXPIRED, "this attempt has no reservation", Duration.ZERO)
            }
        }
    }

    /**
     * Cancels [attempt]. A cancel that arrives before the message that starts the attempt makes that message
     * ineffective.
     */
    fun cancel(attempt: AttemptId) {
        val openAttempt = attempts.find(attempt)
        when {
            openAttempt != null -> openAttempt.scheduler.cancel(attempt, AttemptEnding.CANCELLED)
            attempts.ending(attempt) == AttemptEnding.ANSWERED -> Unit
            else -> attempts.close(attempt, AttemptEnding.CANCELLED)
        }
    }

    /** Forbids the start of a claim that was not started, and returns its state. */
    fun voidClaim(storeKey: String, number: Long): PeerMessage.ClaimStatus {
        val waiting = claims.registry.waitingAttempt(storeKey, number)
        val status = claims.registry.void(storeKey, number)
        if (waiting != null) (attempts.find(waiting)?.scheduler as? PlainScheduler)?.refuseVoided(waiting)
        return status
    }

    private inline fun <reified T : UpstreamScheduler> findUsable(start: NewAttempt, refusal: NewWorkRefusal?): T? {
        if (refusal != null) {
            refuse(start, refusal.cause, refusal.detail, refusal.retryAfter)
            return null
        }
        val scheduler = start.upstream?.let(upstreams::find)
        if (scheduler !is T) {
            refuse(start, FaultCause.REJECTED, "upstream is not served on this host in this role", Duration.ZERO)
            return null
        }
        if (!upstreams.isUsable(scheduler.upstream.name)) {
            refuse(start, FaultCause.REJECTED, "upstream not ready", RetryDelayEstimate.MINIMUM_RETRY_DELAY)
            return null
        }
        return scheduler
    }

    private fun refuse(start: NewAttempt, cause: FaultCause, detail: String, retryAfter: Duration) {
        val peer = start.upstream?.text ?: context.settings.host.text
        val load = start.upstream?.let(upstreams::find)?.load
        val fault = Fault(start.step, peer, cause, detail)
        context.output.send(start.connection, PeerMessage.Refused(start.attempt, fault, retryAfter, load))
        attempts.close(start.attempt, AttemptEnding.ANSWERED)
    }

    private class NewAttempt(
        val connection: ConnectionId,
        val attempt: AttemptId,
        val upstream: UpstreamName?,
        val step: Step,
    )
}
