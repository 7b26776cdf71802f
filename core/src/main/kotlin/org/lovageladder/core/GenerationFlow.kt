package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Handles a generation: reserves decode memory, prefills the prompt, then starts the decode, which fetches the
 * prefill's result and streams tokens. A stream that stalls or fails is resumed on another upstream from its next
 * token index. Until the first token, a request that can no longer meet its first-token target is refused at once.
 */
internal class GenerationFlow(
    private val components: EntryComponents,
    private val context: RequestContext,
    private val content: RequestContent.Generation,
    private val target: LatencyTarget.Stream,
    private val acceptedAt: Moment,
) : RequestFlow {
    private val outputBound =
        minOf(content.outputTokens ?: context.requestClass.outputBound, context.requestClass.outputBound)
    private val pieces = (content.promptTokens + outputBound + PIECE_TOKENS - 1) / PIECE_TOKENS
    private val tokens = TokenSequence { index, text ->
        components.output.add(EntryEffect.SendToken(context.exchange, index, text))
    }
    private val excluded = mutableSetOf<UpstreamName>()
    private val excludedPrefill = mutableSetOf<UpstreamName>()
    private var reservation: Attempt? = null
    private var isReserved = false
    private val prefills = mutableListOf<Attempt>()
    private var ticket: TransferTicket? = null
    private var decodeStartedAt: Moment? = null
    private var lastTokenAt: Moment? = null
    private var reserveTries = 0
    private var hasRepeatedPrefill = false
    private var deadlineTimer: Timer? = null
    private var hedgeTimer: Timer? = null
    private var stallTimer: Timer? = null

    private val firstTokenDeadline: Moment get() = acceptedAt + target.firstToken

    override fun begin(now: Moment) {
        deadlineTimer = components.timers.at(firstTokenDeadline) { onFirstTokenDeadline(it) }
        val pool = context.service.decodePool
        val largest = pool?.let(components.table::largestUpstreamPieces)
        when {
            largest == null -> refuse(RefusalReason.NO_UPSTREAM, detail = "pool $pool has no upstream")
            pieces > largest -> refusePromptTooLarge(largest)
            components.settings.reserveFirst -> reserve(now)
            else -> startPrefill(now)
        }
    }

    override fun onCallerDisconnected(now: Moment) {
        releaseResources()
        context.abandon()
    }

    override fun onMessage(attempt: Attempt, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.Granted -> onGranted(attempt, message, now)
            is PeerMessage.Refused -> onRefused(attempt, message, now)
            is PeerMessage.PrefillReady -> onPrefillReady(attempt, message, now)
            is PeerMessage.TokenProduced -> onTokenProduced(attempt, message, now)
            is PeerMessage.DecodeFinished -> onDecodeFinished(attempt, message, now)
            is PeerMessage.AttemptFailed -> onAttemptFailed(attempt, message.fault, message.load, now)
            else -> Unit
        }
    }

    override fun onConnectionLost(attempt: Attempt, fault: Fault, now: Moment) {
        handleFailure(attempt, fault, now)
    }

    private fun reserve(now: Moment) {
        val pool = context.service.decodePool ?: return
        val upstream = components.selector.select(pool, Placement.Decode(pieces), excluded, now)
        if (upstream == null) {
            refuse(RefusalReason.NO_UPSTREAM, detail = "no available upstream in pool $pool")
            return
        }
        val timeToReserve = (firstTokenDeadline - now) - expectedPrefillTime()
        val isTooLate =
            timeToReserve <= Duration.ZERO ||
                (components.settings.earlyRefusal && expectedWait(upstream, now) > timeToReserve)
        if (isTooLate && tokens.nextIndex == 0) {
            refuse(RefusalReason.OVERLOADED, detail = "the first token cannot arrive within ${target.firstToken}")
            return
        }
        reserveTries++
        val id = context.nextAttemptId()
        val message = PeerMessage.Reserve(
            attempt = id,
            upstream = upstream.name,
            pieces = pieces,
            worth = context.requestClass.worth,
            priority = context.requestClass.priority,
            waitAtMost = if (tokens.nextIndex > 0) MINIMUM_RESUME_TIME else timeToReserve.coerceAtLeast(Duration.ZERO),
            holdAtMost = (firstTokenDeadline - now).coerceAtLeast(MINIMUM_RESUME_TIME) + HOLD_MARGIN,
        )
        context.record(EventKind.UPSTREAM_CHOSEN, upstream.name)
        reservation = components.attempts.start(id, upstream, this, message, now, pieces = pieces)
    }

    /**
     * Expected wait for memory, from the queue in a recent ledger state. It assumes that each call runs for its whole
     * output bound at the target token gap.
     */
    private fun expectedWait(upstream: UpstreamRecord, now: Moment): Duration {
        val load = upstream.load ?: return Duration.ZERO
        val age = upstream.loadReceivedAt?.let { now - it } ?: return Duration.ZERO
        if (age > LOAD_VALIDITY || load.waiting == 0 || load.running == 0) return Duration.ZERO
        val callTime = target.tokenGap * outputBound
        return callTime * (load.waiting + 1) / load.running
    }

    private fun expectedPrefillTime(): Duration {
        val pool = context.service.prefillPool ?: return Duration.ZERO
        val fastest = components.table.nearestUsable(pool)
            .filter { !it.prefillTimePerThousandTokens.isEmpty }
            .minOfOrNull { it.prefillTimePerThousandTokens.smoothedMicroseconds } ?: return Duration.ZERO
        return (fastest * content.promptTokens / THOUSAND).microseconds
    }

    private fun onGranted(attempt: Attempt, message: PeerMessage.Granted, now: Moment) {
        components.attempts.recordLoad(attempt, message.load, now)
        if (attempt !== reservation || isReserved) return
        isReserved = true
        context.record(EventKind.RESERVATION_GRANTED, attempt.upstream.name)
        if (ticket == null) startPrefill(now) else startDecode(now)
    }

    private fun startPrefill(now: Moment) {
        val pool = context.service.prefillPool ?: return
        val placement = Placement.Prefill(content.promptTokens, content.prefixDigest)
        val upstream = components.selector.select(pool, placement, excludedPrefill, now)
        if (upstream == null) {
            if (prefills.isEmpty()) refuse(RefusalReason.NO_UPSTREAM, detail = "no available upstream in pool $pool")
            return
        }
        val remaining =
            (firstTokenDeadline - now).coerceAtLeast(if (tokens.nextIndex > 0) MINIMUM_RESUME_TIME else Duration.ZERO)
        val id = context.nextAttemptId()
        val message = PeerMessage.StartPrefill(
            attempt = id,
            upstream = upstream.name,
            content = content,
            outputBound = outputBound,
            priority = context.requestClass.priority,
            worth = context.requestClass.worth,
            finishWithin = remaining,
        )
        context.record(EventKind.PREFILL_STARTED, upstream.name)
        val attempt = components.attempts.start(id, upstream, this, message, now, promptTokens = content.promptTokens)
        if (attempt != null) prefills += attempt
        scheduleHedge(upstream, now)
    }

    private fun scheduleHedge(upstream: UpstreamRecord, now: Moment) {
        if (!components.settings.hedging || prefills.size > 1) return
        val timePerThousandTokens = upstream.prefillTimePerThousandTokens.quantile(HEDGE_QUANTILE) ?: return
        val delay = timePerThousandTokens * (content.promptTokens / THOUSAND) * HEDGE_FACTOR + HEDGE_DELAY_OFFSET
        hedgeTimer?.cancel()
        hedgeTimer = components.timers.at(now + delay) { startHedgePrefill(it) }
    }

    private fun startHedgePrefill(now: Moment) {
        val isAwaitingOnePrefill = !context.isFinished && ticket == null && prefills.size == 1
        if (!isAwaitingOnePrefill || !components.hedgeBudget.tryTake()) return
        excludedPrefill += prefills.single().upstream.name
        context.record(EventKind.ATTEMPT_HEDGED, prefills.single().upstream.name, "prefill")
        startPrefill(now)
    }

    private fun onPrefillReady(attempt: Attempt, message: PeerMessage.PrefillReady, now: Moment) {
        components.attempts.recordLoad(attempt, message.load, now)
        components.attempts.end(attempt)
        if (!prefills.remove(attempt)) return
        recordPrefillTime(attempt, now)
        hedgeTimer?.cancel()
        prefills.forEach { components.attempts.cancel(it) }
        prefills.clear()
        ticket = message.ticket
        context.record(EventKind.PREFILL_READY, attempt.upstream.name)
        when {
            isReserved -> startDecode(now)
            reservation == null -> reserve(now)
        }
    }

    private fun recordPrefillTime(attempt: Attempt, now: Moment) {
        val elapsed = now - attempt.startedAt
        val thousandsOfTokens = (content.promptTokens / THOUSAND).coerceAtLeast(1 / THOUSAND)
        attempt.upstream.prefillTimePerThousandTokens.record(elapsed / thousandsOfTokens)
        components.table.updateProbation(attempt.upstream, UpstreamRecord::prefillTimePerThousandTokens, now)
    }

    private fun startDecode(now: Moment) {
        val attempt = reservation ?: return
        val transferTicket = ticket ?: return
        decodeStartedAt = now
        context.record(EventKind.DECODE_STARTED, attempt.upstream.name)
        val message = PeerMessage.StartDecode(
            attempt = attempt.id,
            content = content,
            outputBound = outputBound,
            priority = context.requestClass.priority,
            ticket = transferTicket,
            fromIndex = tokens.nextIndex,
        )
        components.links.send(attempt.link, message)
        restartStallTimer(now)
    }

    private fun onTokenProduced(attempt: Attempt, message: PeerMessage.TokenProduced, now: Moment) {
        if (attempt !== reservation || context.isFinished) return
        val decodeStart = decodeStartedAt
        val previous = lastTokenAt
        if (!tokens.add(message.index, message.text)) return
        deadlineTimer?.cancel()
        if (previous != null) attempt.upstream.tokenGap.record(now - previous)
        if (previous == null && decodeStart != null) attempt.upstream.firstLatency.record(now - decodeStart)
        lastTokenAt = now
        restartStallTimer(now)
    }

    /** Time without a token after which the stream is treated as stalled. */
    private fun stallTimeout(): Duration {
        val isAwaitingFirstToken = lastTokenAt == null
        val base = if (isAwaitingFirstToken) target.firstToken else target.tokenGap * STALL_TOKEN_GAPS
        return base.coerceIn(MINIMUM_STALL_TIMEOUT, MAXIMUM_STALL_TIMEOUT)
    }

    private fun restartStallTimer(now: Moment) {
        stallTimer?.cancel()
        stallTimer = components.timers.at(now + stallTimeout()) { onStall(it) }
    }

    private fun onStall(now: Moment) {
        val attempt = reservation ?: return
        if (context.isFinished) return
        attempt.upstream.tokenGap.record(stallTimeout())
        components.table.updateProbation(attempt.upstream, UpstreamRecord::tokenGap, now)
        val excludedNow = excluded + attempt.upstream.name
        val pool = context.service.decodePool ?: return
        val alternative = components.selector.select(pool, Placement.Decode(pieces), excludedNow, now)
        if (alternative == null || !components.retryBudget.tryTake()) {
            restartStallTimer(now)
            return
        }
        components.attempts.cancel(attempt)
        excluded += attempt.upstream.name
        context.record(EventKind.STREAM_RESUMED, attempt.upstream.name, "stalled at token ${tokens.nextIndex}")
        restart(now)
    }

    private fun restart(now: Moment) {
        reservation = null
        isReserved = false
        ticket = null
        decodeStartedAt = null
        stallTimer?.cancel()
        reserve(now)
    }

    private fun onDecodeFinished(attempt: Attempt, message: PeerMessage.DecodeFinished, now: Moment) {
        components.attempts.recordLoad(attempt, message.load, now)
        components.attempts.end(attempt)
        if (attempt !== reservation || context.isFinished) return
        if (tokens.nextIndex < message.tokens) {
            val fault = Fault(Step.DECODE, attempt.upstream.name.text, FaultCause.PROTOCOL, "some tokens are missing")
            handleFailure(attempt, fault, now)
            return
        }
        context.record(EventKind.DECODE_FINISHED, attempt.upstream.name)
        components.retryBudget.recordSuccess()
        components.hedgeBudget.recordSuccess()
        stopTimers()
        context.finish(Outcome.Generated(message.finishReason, content.promptTokens, message.tokens))
    }

    private fun onRefused(attempt: Attempt, message: PeerMessage.Refused, now: Moment) {
        components.attempts.recordLoad(attempt, message.load, now)
        components.attempts.end(attempt)
        if (context.isFinished) return
        if (prefills.remove(attempt)) {
            onPrefillRefused(attempt, message, now)
        } else if (attempt === reservation) {
            onReservationRefused(attempt, message, now)
        }
    }

    private fun onPrefillRefused(attempt: Attempt, message: PeerMessage.Refused, now: Moment) {
        excludedPrefill += attempt.upstream.name
        if (prefills.isNotEmpty()) return
        if (now < firstTokenDeadline && hasOtherPrefillUpstream(now)) startPrefill(now) else refuse(message)
    }

    private fun hasOtherPrefillUpstream(now: Moment): Boolean {
        val pool = context.service.prefillPool ?: return false
        val placement = Placement.Prefill(content.promptTokens, content.prefixDigest)
        return components.selector.select(pool, placement, excludedPrefill, now) != null
    }

    private fun onReservationRefused(attempt: Attempt, message: PeerMessage.Refused, now: Moment) {
        context.record(EventKind.RESERVATION_REFUSED, attempt.upstream.name, message.fault.toString())
        val step = message.fault.step
        excluded += attempt.upstream.name
        if (step == Step.DECODE || isReserved) {
            handleFailure(attempt, message.fault, now)
            return
        }
        reservation = null
        val pool = context.service.decodePool ?: return
        val alternative = components.selector.select(pool, Placement.Decode(pieces), excluded, now)
        val mayReserveAgain = alternative != null && reserveTries < MAXIMUM_RESERVE_TRIES && now < firstTokenDeadline
        if (mayReserveAgain || (tokens.nextIndex > 0 && alternative != null)) reserve(now) else refuse(message)
    }

    private fun onAttemptFailed(attempt: Attempt, fault: Fault, load: UpstreamLoad?, now: Moment) {
        components.attempts.recordLoad(attempt, load, now)
        components.attempts.end(attempt)
        handleFailure(attempt, fault, now)
    }

    private fun handleFailure(attempt: Attempt, fault: Fault, now: Moment) {
        if (context.isFinished) return
        context.record(EventKind.ATTEMPT_FAILED, attempt.upstream.name, fault.toString())
        if (prefills.remove(attempt)) {
            excludedPrefill += attempt.upstream.name
            if (prefills.isEmpty()) retryOrRefuse(fault, now) { startPrefill(it) }
            return
        }
        if (attempt !== reservation) return
        if (fault.cause == FaultCause.EXPIRED && repeatExpiredPrefill(now)) return
        excluded += attempt.upstream.name
        val hasStartedDecode = decodeStartedAt != null
        if (hasStartedDecode) {
            retryOrRefuse(fault, now) { restart(it) }
        } else {
            reservation = null
            isReserved = false
            retryOrRefuse(fault, now) { reserve(it) }
        }
    }

    /** Repeats a prefill whose result expired before its transfer, once and if the target can still be met. */
    private fun repeatExpiredPrefill(now: Moment): Boolean {
        val fitsTarget = tokens.nextIndex == 0 && now + expectedPrefillTime() < firstTokenDeadline
        if (!fitsTarget || hasRepeatedPrefill) return false
        hasRepeatedPrefill = true
        context.record(EventKind.PREFILL_WASTED, detail = "expired before its transfer")
        restart(now)
        return true
    }

    private fun retryOrRefuse(fault: Fault, now: Moment, retry: (Moment) -> Unit) {
        val isInTime = tokens.nextIndex > 0 || now < firstTokenDeadline
        if (isInTime && components.retryBudget.tryTake()) {
            context.record(EventKind.ATTEMPT_RETRIED, detail = fault.toString())
            retry(now)
        } else {
            refuse(RefusalReason.UPSTREAM_FAILED, fault = fault)
        }
    }

    /**
     * Refuses a request that has no first token yet. A started decode gets twice the target, since its prefill has
     * already been used.
     */
    private fun onFirstTokenDeadline(now: Moment) {
        if (context.isFinished || tokens.nextIndex > 0) return
        val extendedDeadline = firstTokenDeadline + target.firstToken
        if (decodeStartedAt != null && now < extendedDeadline) {
            deadlineTimer = components.timers.at(extendedDeadline) { onFirstTokenDeadline(it) }
            return
        }
        refuse(RefusalReason.DEADLINE, detail = "no first token within ${target.firstToken}")
    }

    private fun refuse(message: PeerMessage.Refused) {
        val reason = if (message.fault.cause == FaultCause.LEAVING) {
            RefusalReason.NO_UPSTREAM
        } else {
            RefusalReason.OVERLOADED
        }
        refuse(reason, message.retryAfter, message.fault)
    }

    private fun refusePromptTooLarge(largest: Int) {
        releaseResources()
        val detail = "needs $pieces pieces of $PIECE_TOKENS tokens; the largest upstream has $largest"
        context.finish(Outcome.Refused(RefusalReason.PROMPT_TOO_LARGE, Execution.NOT_RUN, detail = detail))
    }

    private fun refuse(
        reason: RefusalReason,
        retryAfter: Duration = DEFAULT_RETRY_AFTER,
        fault: Fault? = null,
        detail: String = "",
    ) {
        releaseResources()
        val execution = if (decodeStartedAt == null && tokens.nextIndex == 0) Execution.NOT_RUN else Execution.UNKNOWN
        val jitteredRetryAfter = components.addJitter(retryAfter.coerceIn(MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER))
        context.finish(
            Outcome.Refused(reason, execution, retryAfter = jitteredRetryAfter, fault = fault, detail = detail),
        )
    }

    private fun releaseResources() {
        stopTimers()
        if (ticket != null && decodeStartedAt == null) context.record(EventKind.PREFILL_WASTED)
        prefills.forEach { components.attempts.cancel(it) }
        prefills.clear()
        reservation?.let { components.attempts.cancel(it) }
    }

    private fun stopTimers() {
        deadlineTimer?.cancel()
        hedgeTimer?.cancel()
        stallTimer?.cancel()
    }

    private companion object {
        const val THOUSAND = 1000.0
        const val MAXIMUM_RESERVE_TRIES = 3
        const val STALL_TOKEN_GAPS = 8
        const val HEDGE_QUANTILE = 0.95
        const val HEDGE_FACTOR = 2.0
        val HEDGE_DELAY_OFFSET = 20.milliseconds

        /** Minimum time for the reservation and the prefill of a resumed stream; its first token is already sent. */
        val MINIMUM_RESUME_TIME = 1.seconds
        val HOLD_MARGIN = 1.seconds
        val LOAD_VALIDITY = 250.milliseconds
        val MINIMUM_STALL_TIMEOUT = 250.milliseconds
        val MAXIMUM_STALL_TIMEOUT = 5.seconds
        val MINIMUM_RETRY_AFTER = 50.milliseconds
        val MAXIMUM_RETRY_AFTER = 30.seconds
    }
}
