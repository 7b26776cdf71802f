package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Course of a generation: decode memory is reserved first, then the prompt is prefilled, then the decode fetches the
 * prefill's result and streams tokens. A stream that stalls or breaks is resumed on another upstream from its next
 * token index. Until the first token, whatever cannot meet the first-token target any more is refused at once.
 */
internal class GenerationFlow(
    private val work: EntryWork,
    private val context: RequestContext,
    private val content: RequestContent.Generation,
    private val target: LatencyTarget.Stream,
    private val acceptedAt: Moment,
) : RequestFlow {
    private val outputBound =
        minOf(content.outputTokens ?: context.requestClass.outputBound, context.requestClass.outputBound)
    private val pieces = (content.promptTokens + outputBound + PIECE_TOKENS - 1) / PIECE_TOKENS
    private val tokens = TokenSequence { index, text ->
        work.output.add(EntryEffect.GiveToken(context.exchange, index, text))
    }
    private val excluded = mutableSetOf<UpstreamName>()
    private val excludedPrefill = mutableSetOf<UpstreamName>()
    private var reservation: Attempt? = null
    private var reserved = false
    private val prefills = mutableListOf<Attempt>()
    private var ticket: TransferTicket? = null
    private var decodeStartedAt: Moment? = null
    private var lastTokenAt: Moment? = null
    private var reserveTries = 0
    private var prefilledAgain = false
    private var deadline: Timer? = null
    private var hedge: Timer? = null
    private var stall: Timer? = null

    private val firstTokenDue: Moment get() = acceptedAt + target.firstToken

    override fun begin(now: Moment) {
        deadline = work.timers.at(firstTokenDue) { expire(it) }
        val pool = context.service.decodePool
        val largest = pool?.let(work.table::largestPieces)
        when {
            largest == null -> refuse(RefusalReason.NO_UPSTREAM, detail = "pool $pool has no upstream")
            pieces > largest -> refusePromptTooLarge(largest)
            work.settings.reserveFirst -> reserve(now)
            else -> prefill(now)
        }
    }

    override fun callerLeft(now: Moment) {
        release()
        context.abandon()
    }

    override fun received(attempt: Attempt, message: PeerMessage, now: Moment) {
        when (message) {
            is PeerMessage.Granted -> granted(attempt, message, now)
            is PeerMessage.Refused -> refused(attempt, message, now)
            is PeerMessage.PrefillReady -> prefillReady(attempt, message, now)
            is PeerMessage.TokenProduced -> tokenProduced(attempt, message, now)
            is PeerMessage.DecodeFinished -> decodeFinished(attempt, message, now)
            is PeerMessage.AttemptFailed -> failed(attempt, message.fault, message.load, now)
            else -> Unit
        }
    }

    override fun lost(attempt: Attempt, fault: Fault, now: Moment) {
        brokeOff(attempt, fault, now)
    }

    private fun reserve(now: Moment) {
        val pool = context.service.decodePool ?: return
        val upstream = work.choice.pick(pool, Placement.Decode(pieces), excluded, now)
        if (upstream == null) {
            refuse(RefusalReason.NO_UPSTREAM, detail = "no usable upstream in pool $pool")
            return
        }
        val wait = (firstTokenDue - now) - expectedPrefill()
        val tooLate = wait <= Duration.ZERO || (work.settings.earlyRefusal && expectedWait(upstream, now) > wait)
        if (tooLate && tokens.next == 0) {
            refuse(RefusalReason.OVERLOADED, detail = "the first token cannot arrive within ${target.firstToken}")
            return
        }
        reserveTries++
        val id = context.nextAttempt()
        val message = PeerMessage.Reserve(
            attempt = id,
            upstream = upstream.name,
            pieces = pieces,
            worth = context.requestClass.worth,
            priority = context.requestClass.priority,
            waitAtMost = if (tokens.next > 0) RESUME_WAIT else wait.coerceAtLeast(Duration.ZERO),
            holdAtMost = (firstTokenDue - now).coerceAtLeast(RESUME_WAIT) + HOLD_MARGIN,
        )
        context.record(EventKind.UPSTREAM_CHOSEN, upstream.name)
        reservation = work.attempts.begin(id, upstream, this, message, now, pieces = pieces)
    }

    /** Time until memory is expected to be free, from the ledger and the time that calls take there. */
    private fun expectedWait(upstream: UpstreamRecord, now: Moment): Duration {
        val load = upstream.load ?: return Duration.ZERO
        val age = upstream.loadAt?.let { now - it } ?: return Duration.ZERO
        if (age > LOAD_VALIDITY || load.waiting == 0 || load.running == 0) return Duration.ZERO
        val callTime = target.tokenGap * outputBound
        return callTime * (load.waiting + 1) / load.running
    }

    private fun expectedPrefill(): Duration {
        val pool = context.service.prefillPool ?: return Duration.ZERO
        val fastest = work.table.nearest(pool)
            .filter { !it.prefillPerThousandTokens.isEmpty }
            .minOfOrNull { it.prefillPerThousandTokens.smoothedMicroseconds } ?: return Duration.ZERO
        return (fastest * content.promptTokens / THOUSAND).microseconds
    }

    private fun granted(attempt: Attempt, message: PeerMessage.Granted, now: Moment) {
        work.attempts.learn(attempt, message.load, now)
        if (attempt !== reservation || reserved) return
        reserved = true
        context.record(EventKind.RESERVATION_GRANTED, attempt.upstream.name)
        if (ticket == null) prefill(now) else decode(now)
    }

    private fun prefill(now: Moment) {
        val pool = context.service.prefillPool ?: return
        val placement = Placement.Prefill(content.promptTokens, content.prefixDigest)
        val upstream = work.choice.pick(pool, placement, excludedPrefill, now)
        if (upstream == null) {
            if (prefills.isEmpty()) refuse(RefusalReason.NO_UPSTREAM, detail = "no usable upstream in pool $pool")
            return
        }
        val remaining = (firstTokenDue - now).coerceAtLeast(if (tokens.next > 0) RESUME_WAIT else Duration.ZERO)
        val id = context.nextAttempt()
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
        val attempt = work.attempts.begin(id, upstream, this, message, now, promptTokens = content.promptTokens)
        if (attempt != null) prefills += attempt
        scheduleHedge(upstream, now)
    }

    private fun scheduleHedge(upstream: UpstreamRecord, now: Moment) {
        if (!work.settings.hedging || prefills.size > 1) return
        val perThousand = upstream.prefillPerThousandTokens.quantile(HEDGE_QUANTILE) ?: return
        val delay = perThousand * (content.promptTokens / THOUSAND) * HEDGE_FACTOR + HEDGE_FLOOR
        hedge?.cancel()
        hedge = work.timers.at(now + delay) { hedgePrefill(it) }
    }

    private fun hedgePrefill(now: Moment) {
        val awaitsOne = !context.over && ticket == null && prefills.size == 1
        if (!awaitsOne || !work.hedges.take()) return
        excludedPrefill += prefills.single().upstream.name
        context.record(EventKind.ATTEMPT_HEDGED, prefills.single().upstream.name, "prefill")
        prefill(now)
    }

    private fun prefillReady(attempt: Attempt, message: PeerMessage.PrefillReady, now: Moment) {
        work.attempts.learn(attempt, message.load, now)
        work.attempts.end(attempt)
        if (!prefills.remove(attempt)) return
        observePrefill(attempt, now)
        hedge?.cancel()
        prefills.forEach { work.attempts.cancel(it) }
        prefills.clear()
        ticket = message.ticket
        context.record(EventKind.PREFILL_READY, attempt.upstream.name)
        when {
            reserved -> decode(now)
            reservation == null -> reserve(now)
        }
    }

    private fun observePrefill(attempt: Attempt, now: Moment) {
        val taken = now - attempt.startedAt
        val thousands = (content.promptTokens / THOUSAND).coerceAtLeast(1 / THOUSAND)
        attempt.upstream.prefillPerThousandTokens.observe(taken / thousands)
        work.table.judge(attempt.upstream, UpstreamRecord::prefillPerThousandTokens, now)
    }

    private fun decode(now: Moment) {
        val attempt = reservation ?: return
        val used = ticket ?: return
        decodeStartedAt = now
        context.record(EventKind.DECODE_STARTED, attempt.upstream.name)
        val message = PeerMessage.StartDecode(
            attempt = attempt.id,
            content = content,
            outputBound = outputBound,
            priority = context.requestClass.priority,
            ticket = used,
            fromIndex = tokens.next,
        )
        work.links.send(attempt.link, message)
        watchStall(now)
    }

    private fun tokenProduced(attempt: Attempt, message: PeerMessage.TokenProduced, now: Moment) {
        if (attempt !== reservation || context.over) return
        val started = decodeStartedAt
        val previous = lastTokenAt
        if (!tokens.offer(message.index, message.text)) return
        deadline?.cancel()
        if (previous != null) attempt.upstream.tokenGap.observe(now - previous)
        if (previous == null && started != null) attempt.upstream.firstLatency.observe(now - started)
        lastTokenAt = now
        watchStall(now)
    }

    /** Time without a token after which the stream counts as stalled. */
    private fun stallLimit(): Duration {
        val waitingForFirst = lastTokenAt == null
        val base = if (waitingForFirst) target.firstToken else target.tokenGap * STALL_GAPS
        return base.coerceIn(STALL_FLOOR, STALL_CEILING)
    }

    private fun watchStall(now: Moment) {
        stall?.cancel()
        stall = work.timers.at(now + stallLimit()) { stalled(it) }
    }

    private fun stalled(now: Moment) {
        val attempt = reservation ?: return
        if (context.over) return
        attempt.upstream.tokenGap.observe(stallLimit())
        work.table.judge(attempt.upstream, UpstreamRecord::tokenGap, now)
        val elsewhere = excluded + attempt.upstream.name
        val pool = context.service.decodePool ?: return
        val other = work.choice.pick(pool, Placement.Decode(pieces), elsewhere, now)
        if (other == null || !work.retries.take()) {
            watchStall(now)
            return
        }
        work.attempts.cancel(attempt)
        excluded += attempt.upstream.name
        context.record(EventKind.STREAM_RESUMED, attempt.upstream.name, "stalled at token ${tokens.next}")
        restart(now)
    }

    private fun restart(now: Moment) {
        reservation = null
        reserved = false
        ticket = null
        decodeStartedAt = null
        stall?.cancel()
        reserve(now)
    }

    private fun decodeFinished(attempt: Attempt, message: PeerMessage.DecodeFinished, now: Moment) {
        work.attempts.learn(attempt, message.load, now)
        work.attempts.end(attempt)
        if (attempt !== reservation || context.over) return
        if (tokens.next < message.tokens) {
            val fault = Fault(Step.DECODE, attempt.upstream.name.text, FaultCause.PROTOCOL, "tokens are missing")
            brokeOff(attempt, fault, now)
            return
        }
        context.record(EventKind.DECODE_FINISHED, attempt.upstream.name)
        work.retries.succeeded()
        work.hedges.succeeded()
        stopTimers()
        context.give(Outcome.Generated(message.finishReason, content.promptTokens, message.tokens))
    }

    private fun refused(attempt: Attempt, message: PeerMessage.Refused, now: Moment) {
        work.attempts.learn(attempt, message.load, now)
        work.attempts.end(attempt)
        if (context.over) return
        if (prefills.remove(attempt)) {
            prefillRefused(attempt, message, now)
        } else if (attempt === reservation) {
            reservationRefused(attempt, message, now)
        }
    }

    private fun prefillRefused(attempt: Attempt, message: PeerMessage.Refused, now: Moment) {
        excludedPrefill += attempt.upstream.name
        if (prefills.isNotEmpty()) return
        if (now < firstTokenDue && anotherPrefill(now)) prefill(now) else refuse(message)
    }

    private fun anotherPrefill(now: Moment): Boolean {
        val pool = context.service.prefillPool ?: return false
        val placement = Placement.Prefill(content.promptTokens, content.prefixDigest)
        return work.choice.pick(pool, placement, excludedPrefill, now) != null
    }

    private fun reservationRefused(attempt: Attempt, message: PeerMessage.Refused, now: Moment) {
        context.record(EventKind.RESERVATION_REFUSED, attempt.upstream.name, message.fault.toString())
        val step = message.fault.step
        excluded += attempt.upstream.name
        if (step == Step.DECODE || reserved) {
            brokeOff(attempt, message.fault, now)
            return
        }
        reservation = null
        val pool = context.service.decodePool ?: return
        val other = work.choice.pick(pool, Placement.Decode(pieces), excluded, now)
        val mayTry = other != null && reserveTries < MAX_RESERVE_TRIES && now < firstTokenDue
        if (mayTry || (tokens.next > 0 && other != null)) reserve(now) else refuse(message)
    }

    private fun failed(attempt: Attempt, fault: Fault, load: UpstreamLoad?, now: Moment) {
        work.attempts.learn(attempt, load, now)
        work.attempts.end(attempt)
        brokeOff(attempt, fault, now)
    }

    private fun brokeOff(attempt: Attempt, fault: Fault, now: Moment) {
        if (context.over) return
        context.record(EventKind.ATTEMPT_FAILED, attempt.upstream.name, fault.toString())
        if (prefills.remove(attempt)) {
            excludedPrefill += attempt.upstream.name
            if (prefills.isEmpty()) retryOrRefuse(fault, now) { prefill(it) }
            return
        }
        if (attempt !== reservation) return
        if (fault.cause == FaultCause.EXPIRED && prefillAgain(now)) return
        excluded += attempt.upstream.name
        val startedDecode = decodeStartedAt != null
        if (startedDecode) {
            retryOrRefuse(fault, now) { restart(it) }
        } else {
            reservation = null
            reserved = false
            retryOrRefuse(fault, now) { reserve(it) }
        }
    }

    /** A prefill's result that expired before its transfer is computed anew, once, when that still fits the target. */
    private fun prefillAgain(now: Moment): Boolean {
        val fits = tokens.next == 0 && now + expectedPrefill() < firstTokenDue
        if (!fits || prefilledAgain) return false
        prefilledAgain = true
        context.record(EventKind.PREFILL_WASTED, detail = "expired before its transfer")
        restart(now)
        return true
    }

    private fun retryOrRefuse(fault: Fault, now: Moment, again: (Moment) -> Unit) {
        val inTime = tokens.next > 0 || now < firstTokenDue
        if (inTime && work.retries.take()) {
            context.record(EventKind.ATTEMPT_RETRIED, detail = fault.toString())
            again(now)
        } else {
            refuse(RefusalReason.UPSTREAM_FAILED, fault = fault)
        }
    }

    /** Gives up before the first token; a decode that was started has as long again, since its prefill is spent. */
    private fun expire(now: Moment) {
        if (context.over || tokens.next > 0) return
        val lastMoment = firstTokenDue + target.firstToken
        if (decodeStartedAt != null && now < lastMoment) {
            deadline = work.timers.at(lastMoment) { expire(it) }
            return
        }
        refuse(RefusalReason.DEADLINE, detail = "no first token within ${target.firstToken}")
    }

    private fun refuse(message: PeerMessage.Refused) {
        val reason = if (message.fault.cause ==
            FaultCause.LEAVING
        ) {
            RefusalReason.NO_UPSTREAM
        } else {
            RefusalReason.OVERLOADED
        }
        refuse(reason, message.retryAfter, message.fault)
    }

    private fun refusePromptTooLarge(largest: Int) {
        release()
        val detail = "needs $pieces pieces of $PIECE_TOKENS tokens, the largest upstream has $largest"
        context.give(Outcome.Refused(RefusalReason.PROMPT_TOO_LARGE, Execution.NOT_RUN, detail = detail))
    }

    private fun refuse(
        reason: RefusalReason,
        retryAfter: Duration = DEFAULT_RETRY_AFTER,
        fault: Fault? = null,
        detail: String = "",
    ) {
        release()
        val execution = if (decodeStartedAt == null && tokens.next == 0) Execution.NOT_RUN else Execution.UNKNOWN
        val spread = work.spread(retryAfter.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
        context.give(Outcome.Refused(reason, execution, retryAfter = spread, fault = fault, detail = detail))
    }

    private fun release() {
        stopTimers()
        if (ticket != null && decodeStartedAt == null) context.record(EventKind.PREFILL_WASTED)
        prefills.forEach { work.attempts.cancel(it) }
        prefills.clear()
        reservation?.let { work.attempts.cancel(it) }
    }

    private fun stopTimers() {
        deadline?.cancel()
        hedge?.cancel()
        stall?.cancel()
    }

    private companion object {
        const val THOUSAND = 1000.0
        const val MAX_RESERVE_TRIES = 3
        const val STALL_GAPS = 8
        const val HEDGE_QUANTILE = 0.95
        const val HEDGE_FACTOR = 2.0
        val HEDGE_FLOOR = 20.milliseconds
        val RESUME_WAIT = 1.seconds
        val HOLD_MARGIN = 1.seconds
        val LOAD_VALIDITY = 250.milliseconds
        val STALL_FLOOR = 250.milliseconds
        val STALL_CEILING = 5.seconds
        val MIN_RETRY_AFTER = 50.milliseconds
        val MAX_RETRY_AFTER = 30.seconds
    }
}
