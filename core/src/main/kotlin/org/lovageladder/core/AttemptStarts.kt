package org.lovageladder.core

import kotlin.time.Duration

/** Why a companion as a whole takes no new work, and when to try again. */
internal class Refusal(val cause: FaultCause, val detail: String, val retryAfter: Duration)

/**
 * Takes in the messages by which an entry begins, uses and cancels attempts. An attempt that is already known opens
 * nothing again, whether it still runs or has ended.
 */
internal class AttemptStarts(
    private val context: CompanionContext,
    private val upstreams: HostUpstreams,
    private val claims: ClaimedCalls,
) {
    private val attempts = context.attempts

    fun reserve(connection: ConnectionId, message: PeerMessage.Reserve, refusal: Refusal?) {
        if (attempts.isKnown(message.attempt)) return
        val start = NewAttempt(connection, message.attempt, message.upstream, Step.RESERVE)
        usable<DecodeWork>(start, refusal)?.reserve(connection, message)
    }

    fun prefill(connection: ConnectionId, message: PeerMessage.StartPrefill, refusal: Refusal?) {
        if (attempts.isKnown(message.attempt)) return
        val start = NewAttempt(connection, message.attempt, message.upstream, Step.PREFILL)
        usable<PrefillWork>(start, refusal)?.start(connection, message)
    }

    fun plain(connection: ConnectionId, message: PeerMessage.StartPlain, refusal: Refusal?) {
        if (attempts.isKnown(message.attempt)) return
        val start = NewAttempt(connection, message.attempt, message.upstream, Step.PLAIN_CALL)
        val work = usable<PlainWork>(start, refusal)
        if (work == null) message.claim?.let { voidClaim(it.storeKey, it.number) }
        work?.start(connection, message)
    }

    fun decode(connection: ConnectionId, message: PeerMessage.StartDecode) {
        val attempt = message.attempt
        val open = attempts.find(attempt)
        val ending = attempts.ending(attempt)
        when {
            open != null -> (open.work as? DecodeWork)?.startDecode(connection, message)
            ending == AttemptEnding.ANSWERED || ending == AttemptEnding.CANCELLED -> Unit
            else -> {
                val start = NewAttempt(connection, attempt, null, Step.DECODE)
                refuse(start, FaultCause.EXPIRED, "no reservation stands for this attempt", Duration.ZERO)
            }
        }
    }

    /** Frees what [attempt] holds. A cancel that arrives before what it cancels keeps that from taking effect. */
    fun cancel(attempt: AttemptId) {
        val open = attempts.find(attempt)
        when {
            open != null -> open.work.cancel(attempt, AttemptEnding.CANCELLED)
            attempts.ending(attempt) == AttemptEnding.ANSWERED -> Unit
            else -> attempts.close(attempt, AttemptEnding.CANCELLED)
        }
    }

    /** Forbids the start of a claim that was not started, and returns what is known of it. */
    fun voidClaim(storeKey: String, number: Long): PeerMessage.ClaimStatus {
        val waiting = claims.gate.waitingAttempt(storeKey, number)
        val status = claims.gate.void(storeKey, number)
        if (waiting != null) (attempts.find(waiting)?.work as? PlainWork)?.refuseVoided(waiting)
        return status
    }

    private inline fun <reified T : UpstreamWork> usable(start: NewAttempt, refusal: Refusal?): T? {
        if (refusal != null) {
            refuse(start, refusal.cause, refusal.detail, refusal.retryAfter)
            return null
        }
        val work = start.upstream?.let(upstreams::find)
        if (work !is T) {
            refuse(start, FaultCause.REJECTED, "no such upstream here", Duration.ZERO)
            return null
        }
        if (!upstreams.isUsable(work.upstream.name)) {
            refuse(start, FaultCause.REJECTED, "upstream not ready", DrainEstimate.SHORTEST_RETRY)
            return null
        }
        return work
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
