package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One generation. Decode memory is reserved first, then a prefill engine reads the prompt, then the decode engine
 * fetches the result and streams. Without a prefill engine in reach the decode engine reads the prompt itself. Events
 * are passed on as they arrive; a resumable stream that breaks goes on elsewhere after the last whole event, any other
 * is broken off towards the caller too. Confined to one thread.
 */
internal class StreamFlow(
    private val context: ForwardContext,
    private val request: ForwardRequest,
    private val destination: Destination,
    private val queue: MemoryQueue,
    private val pace: StreamPace,
    private val reply: CallerReply,
    private val ended: () -> Unit,
) : ForwardFlow {
    private val route = destination.route
    private val time = RequestTime(request, route)
    private val splitter = if (route.resumable) EventSplitter() else null
    private val declinedBy = HashSet<UpstreamName>()
    private var timeout: RunningCall? = null
    private var claim: MemoryClaim? = null
    private var grant: MemoryGrant? = null
    private var prefilled: PrefillResult? = null
    private var decoding: RunningCall? = null
    private val reading =
        PromptReading(context, request, destination, pace, declinedBy, ::promptRead) {
            refuseOrBreak(RefusalReason.OVERLOADED)
        }
    private val account = StreamAccount(request, time, destination.route)
    private var silence: RunningCall? = null
    private var lastEvent: Long? = request.resumeAfter
    private var runs = 0
    private var sendings = 0
    private var begun = false
    private var over = false

    override fun start() {
        timeout = context.scheduler.after(time.remaining(context.now())) { expire() }
        val crowded = queue.isCrowded()
        if (isLate(crowded) && crowded) {
            refuseOrBreak(RefusalReason.OVERLOADED)
        } else {
            claimMemory()
        }
    }

    /**
     * Whether the caller has been at it for so long that it cannot be served in time any more. One that comes back for
     * the rest of a stream is never late.
     */
    private fun isLate(crowded: Boolean): Boolean {
        val wait = request.wait ?: return false
        if (request.resumeAfter != null || !context.uses(Mechanism.LATE_REFUSAL)) return false
        val patience = pace.patienceOf(route)
        if (crowded) patience.refused(context.now())
        patience.arrived(wait, context.now())
        return patience.elapsed(wait) > route.target - pace.startup
    }

    override fun callerLeft() {
        if (!over) finish("the caller left")
    }

    private fun claimMemory() {
        val now = context.now()
        val latest = if (begun || sendings > 0) time.end else maxOf(now, time.target - pace.startup)
        val entering =
            MemoryClaim(
                request = request.id,
                tokens = pace.memoryFor(route, request.generation, destination.engine),
                priority = if (begun) RESUMED_PRIORITY else route.priority,
                entered = time.arrived,
                latest = latest,
                avoid = declinedBy,
                granted = ::granted,
                refused = ::refuseOrBreak,
            )
        claim = entering
        account.claims(entering.tokens, queue.state(), now)
        queue.enter(entering)
    }

    private fun granted(memory: MemoryGrant) {
        claim = null
        grant = memory
        account.granted(context.now())
        if (prefilled == null) reading.start() else decode()
    }

    private fun promptRead(result: PrefillResult?) {
        prefilled = result
        decode()
    }

    private fun decode() {
        val memory = checkNotNull(grant)
        val name = memory.engine.name
        if (!context.notices.admitsReserved(memory.engine.start, context.now())) {
            leavePausedEngine(memory)
            return
        }
        sendings += 1
        runs += 1
        context.board.health(name).inFlight += 1
        context.record(EventKind.REQUEST_SENT, request.id, name, detail = "decode of ${route.name} after=$lastEvent")
        val sending =
            Sending(
                upstream = memory.engine.start,
                timeout = time.remaining(context.now()),
                prefill = prefilled,
                reservation = memory.reservation,
                resumeAfter = lastEvent,
            )
        account.sentToDecode(context.now())
        decoding = context.calls.send(request, sending, DecodeReceiver(name))
        watchForSilence()
    }

    /** The engine asked for a pause since it reserved the memory; the prompt's result serves another engine too. */
    private fun leavePausedEngine(memory: MemoryGrant) {
        grant = null
        context.release(memory.engine, memory.reservation)
        queue.freed(memory)
        claimMemory()
    }

    /** A connection can fall silent for good; a stream that may go on elsewhere does not wait for it. */
    private fun watchForSilence() {
        silence?.cancel()
        if (!mayResume() || !context.uses(Mechanism.SILENCE_WATCH)) return
        silence = context.scheduler.after(SILENCE) { leaveSilentUpstream() }
    }

    private fun leaveSilentUpstream() {
        if (over || decoding == null) return
        if (!context.budget.tryRepeat(destination.service, context.now())) {
            watchForSilence()
            return
        }
        val upstream = breakOff() ?: return
        val failure = CallFailure(FaultCause.TIMEOUT, sent = true, "silent for $SILENCE")
        context.failed(upstream, request.id, "decode", failure)
        goOnElsewhere(upstream)
    }

    /** Ends the run where it is for [failure]; it may go on elsewhere. */
    private fun leaveUpstream(failure: CallFailure) {
        val upstream = breakOff() ?: return
        brokeOff(upstream, failure)
    }

    /** Cancels the run under way; the upstream that it had. */
    private fun breakOff(): UpstreamName? {
        val upstream = grant?.engine?.name
        decoding?.cancel()
        releaseMemory(used = true)
        return upstream
    }

    private fun goOnElsewhere(left: UpstreamName) {
        splitter?.reset()
        declinedBy += left
        claimMemory()
    }

    private fun onHead(upstream: UpstreamName, head: AnswerHead) {
        head.load?.let { context.board.health(upstream).report(it, context.now()) }
        if (!head.genuine) {
            leaveUpstream(UNPROVEN)
            return
        }
        if (head.notRun || begun) return
        if (!head.success && head.status >= SERVER_ERROR && mayResume()) return
        begun = true
        reply.begin(head, length = null)
    }

    private fun onContent(bytes: ByteArray) {
        account.received(bytes, context.now())?.let(pace::started)
        watchForSilence()
        val splitting = splitter
        if (splitting == null) {
            reply.content(bytes)
            return
        }
        val events = splitting.add(bytes)
        if (splitting.overflown) {
            leaveUpstream(CallFailure(FaultCause.PROTOCOL, sent = true, "an event without end"))
            return
        }
        if (events == null) return
        events.lastEvent?.let { lastEvent = it }
        reply.content(events.bytes)
    }

    private fun declined(upstream: UpstreamName, head: AnswerHead) {
        runs -= 1
        declinedBy += upstream
        context.board.health(upstream).declined(context.now())
        if (head.wrongInstance) context.replaced(upstream, request.id)
        context.record(EventKind.REQUEST_DECLINED, request.id, upstream, detail = "decode ${head.status}")
        if (sendings < MOST_SENDINGS && context.budget.tryRepeat(destination.service, context.now())) {
            claimMemory()
        } else {
            refuseOrBreak(RefusalReason.OVERLOADED)
        }
    }

    private fun brokeOff(upstream: UpstreamName, failure: CallFailure) {
        context.failed(upstream, request.id, "decode", failure)
        if (!failure.sent) runs -= 1
        when {
            !failure.sent && sendings < MOST_SENDINGS -> goOnElsewhere(upstream)
            !failure.sent -> refuseOrBreak(RefusalReason.NO_UPSTREAM)
            mayResume() && context.budget.tryRepeat(destination.service, context.now()) -> goOnElsewhere(upstream)
            else -> refuseOrBreak(RefusalReason.ANSWER_LOST)
        }
    }

    private fun mayResume() = route.resumable && runs < route.maximumAttempts && context.uses(Mechanism.RESUMPTION)

    private fun completed(upstream: UpstreamName) {
        context.board.health(upstream).succeeded()
        noteDecodeCost()
        if (request.resumeAfter == null) pace.ended(route, request.generation, account.events)
        splitter?.rest()?.takeIf { it.isNotEmpty() }?.let(reply::content)
        finish("answered")
        reply.end()
    }

    /** Memory is held while the prompt waits too, but that wait is the prefill pool's and says nothing of decode. */
    private fun noteDecodeCost() {
        val begun = account.decodingSince ?: return
        val traits = destination.engine ?: return
        val tokens = account.claimedTokens
        val share = maxOf(1.0 / traits.slots.coerceAtLeast(1), tokens.toDouble() / traits.memoryTokens.coerceAtLeast(1))
        pace.roles.decoded(context.now() - begun, share)
    }

    private fun refuseOrBreak(reason: RefusalReason) {
        if (over) return
        if (begun) {
            finish("broken off: $reason")
            reply.abort()
            return
        }
        pace.patienceOf(route).refused(context.now())
        val honest = if (runs > 0 && reason.notRun) RefusalReason.ANSWER_LOST else reason
        val remaining = time.remaining(context.now())
        val returnAfter = if (honest.notRun) context.returnAfter(leastReturn(), remaining) else null
        finish("refused: $honest")
        reply.refuse(Refusal(honest, returnAfter))
    }

    /**
     * A caller that is refused early comes back while its target can still be met; a later one when streams that hold
     * memory now have ended.
     */
    private fun leastReturn(): Duration {
        val slack = time.target - pace.startup - context.now()
        val early = slack * EARLY_RETURN
        return if (early < LEAST_EARLY_RETURN || !context.uses(Mechanism.EARLY_RETURN)) pace.returnAfter else early
    }

    private fun expire() {
        if (!over) refuseOrBreak(if (runs > 0) RefusalReason.TIMEOUT else RefusalReason.EXPIRED)
    }

    private fun finish(outcome: String) {
        over = true
        timeout?.cancel()
        silence?.cancel()
        claim?.let(queue::leave)
        reading.cancel()
        decoding?.cancel()
        val engine = grant?.engine?.name
        releaseMemory(used = decoding != null)
        val detail = account.describe(outcome, sendings, context.now())
        context.record(EventKind.REQUEST_ENDED, request.id, engine, detail = detail)
        ended()
    }

    /** Gives memory and prefill result back; [used] when the decode engine has taken them. */
    private fun releaseMemory(used: Boolean) {
        val memory = grant ?: return
        grant = null
        if (decoding != null) context.board.health(memory.engine.name).inFlight -= 1
        decoding = null
        if (!used) {
            context.release(memory.engine, memory.reservation)
            prefilled?.let(context.calls::free)
        }
        prefilled = null
        queue.freed(memory)
    }

    private inner class DecodeReceiver(private val upstream: UpstreamName) : AnswerReceiver {
        private var head: AnswerHead? = null

        override fun onHead(head: AnswerHead) {
            this.head = head
            if (!over) this@StreamFlow.onHead(upstream, head)
        }

        override fun onContent(bytes: ByteArray) {
            if (!over && decoding != null && passes()) this@StreamFlow.onContent(bytes)
        }

        override fun onEnd() {
            if (over) return
            val answered = checkNotNull(head)
            if (answered.notRun) {
                releaseMemory(used = false)
                declined(upstream, answered)
            } else if (passes()) {
                completed(upstream)
            } else {
                releaseMemory(used = true)
                brokeOff(upstream, CallFailure(FaultCause.REJECTED, true, "status ${answered.status}"))
            }
        }

        override fun onFailure(failure: CallFailure) {
            if (over) return
            releaseMemory(used = failure.sent)
            brokeOff(upstream, failure)
        }

        private fun passes(): Boolean {
            val answered = head ?: return false
            return begun && !answered.notRun && (answered.success || runs == 1)
        }
    }

    private companion object {
        const val SERVER_ERROR = 500
        const val MOST_SENDINGS = 3

        /** Callers leave a stream that pauses for some seconds. */
        val SILENCE: Duration = 1_500.milliseconds

        /** Part of the time to the latest start after which a caller comes back, doubled at most by the spread. */
        const val EARLY_RETURN = 0.2
        val LEAST_EARLY_RETURN: Duration = 100.milliseconds

        /** Streams that go on elsewhere come before all that have not begun. */
        const val RESUMED_PRIORITY = -1
    }
}
