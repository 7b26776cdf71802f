package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One request to a plain service. Its answer is received whole before any of it is given to the caller, so that a
 * damaged answer can still be replaced. The request is sent again after an upstream said that it did not run it, or,
 * when it may be repeated, after any failure and beside an upstream that is slow. Confined to one thread.
 */
internal class PlainFlow(
    private val context: ForwardContext,
    private val request: ForwardRequest,
    private val destination: Destination,
    private val reply: CallerReply,
    private val ended: () -> Unit,
) : ForwardFlow {
    private val route = destination.route
    private val time = RequestTime(request, route)
    private val tries = ArrayList<PlainTry>()
    private var timeout: RunningCall? = null
    private var hedge: RunningCall? = null
    private var lastFailure: WholeAnswer? = null
    private var mayHaveRun = false
    private var over = false

    override fun start() {
        timeout = context.scheduler.after(time.remaining(context.now())) { expire() }
        sendNext()
        if (!over && route.repeatable && context.uses(Mechanism.HEDGING)) {
            hedge = context.scheduler.after(route.target * HEDGE_SHARE) { hedgeSlow() }
        }
    }

    override fun callerLeft() {
        if (over) return
        finish("the caller left")
    }

    private fun sendNext() {
        val member = choose()
        if (member == null) {
            giveUp(if (pauseEnd() == null) RefusalReason.NO_UPSTREAM else RefusalReason.OVERLOADED)
            return
        }
        val health = context.board.health(member.name)
        val places = minOf(member.slots * PLACES_PER_SLOT, destination.connections)
        if (tries.isEmpty() && health.inFlight >= places) {
            giveUp(RefusalReason.OVERLOADED)
            return
        }
        send(member)
    }

    private fun choose(): Member? {
        val tried = tries.mapTo(HashSet()) { it.upstream }
        return context.board.candidates(destination.service, PoolRole.PLAIN, context.now(), tried).firstOrNull()
    }

    private fun pauseEnd(): Moment? = context.board.firstPauseEnd(destination.service, PoolRole.PLAIN, context.now())

    private fun send(member: Member) {
        val attempt = PlainTry(member.name)
        tries += attempt
        context.board.health(member.name).inFlight += 1
        context.record(EventKind.REQUEST_SENT, request.id, member.name, detail = "try ${tries.size} of ${route.name}")
        val sending = Sending(member.start, time.remaining(context.now()))
        attempt.call = context.calls.send(request, sending, attempt)
    }

    private fun hedgeSlow() {
        val runs = tries.count { it.running }
        if (over || runs != 1 || tries.size >= route.maximumAttempts) return
        if (context.budget.tryRepeat(destination.service, context.now())) sendNext()
    }

    private fun answered(attempt: PlainTry, answer: WholeAnswer) {
        val head = answer.head
        val health = context.board.health(attempt.upstream)
        head.load?.let { health.report(it, context.now()) }
        when {
            head.wrongInstance -> {
                context.replaced(attempt.upstream, request.id)
                declined(attempt, head)
            }
            head.notRun -> declined(attempt, head)
            !head.genuine -> failed(attempt, UNPROVEN)
            head.status >= SERVER_ERROR -> {
                health.erred(context.now())
                mayHaveRun = true
                lastFailure = answer
                if (!route.repeatable || !sendAgain()) giveUp(RefusalReason.ANSWER_LOST)
            }
            else -> {
                health.succeeded()
                deliver(answer)
            }
        }
    }

    private fun declined(attempt: PlainTry, head: AnswerHead) {
        context.board.health(attempt.upstream).declined(context.now())
        context.record(EventKind.REQUEST_DECLINED, request.id, attempt.upstream, detail = "status ${head.status}")
        if (!sendAgain()) giveUp(RefusalReason.OVERLOADED)
    }

    private fun failed(attempt: PlainTry, failure: CallFailure) {
        context.failed(attempt.upstream, request.id, "plain call", failure)
        if (failure.sent) mayHaveRun = true
        if (failure.sent && !route.repeatable) {
            giveUp(RefusalReason.ANSWER_LOST)
        } else if (!sendAgain(free = !failure.sent)) {
            giveUp(if (failure.sent) RefusalReason.ANSWER_LOST else RefusalReason.NO_UPSTREAM)
        }
    }

    /** Sends again when time, attempts and budget allow; true also when another try still runs. */
    private fun sendAgain(free: Boolean = false): Boolean {
        if (tries.any { it.running }) return true
        val enoughTime = time.remaining(context.now()) > LEAST_TRY
        val runs = tries.count { it.mayHaveRun }
        if (!enoughTime || tries.size >= MOST_SENDINGS || runs >= route.maximumAttempts) return false
        if (!free && !context.budget.tryRepeat(destination.service, context.now())) return false
        sendNext()
        return true
    }

    private fun giveUp(reason: RefusalReason) {
        if (over) return
        if (tries.any { it.running }) return
        val failure = lastFailure
        if (failure != null) {
            deliver(failure)
            return
        }
        val honest = if (mayHaveRun && reason.notRun) RefusalReason.ANSWER_LOST else reason
        refuse(honest)
    }

    private fun expire() {
        if (over) return
        val sent = mayHaveRun || tries.any { it.running }
        refuse(if (sent) RefusalReason.TIMEOUT else RefusalReason.EXPIRED)
    }

    private fun refuse(reason: RefusalReason) {
        val remaining = time.remaining(context.now())
        val returnAfter = if (reason.notRun) context.returnAfter(leastReturn(), remaining) else null
        finish("refused: $reason")
        reply.refuse(Refusal(reason, returnAfter))
    }

    private fun leastReturn(): Duration {
        val pause = pauseEnd()?.let { it - context.now() } ?: Duration.ZERO
        return maxOf(RETURN_AFTER, pause)
    }

    private fun deliver(answer: WholeAnswer) {
        finish("answered ${answer.head.status}")
        reply.begin(answer.head, answer.body.size)
        if (answer.body.isNotEmpty()) reply.content(answer.body)
        reply.end()
    }

    private fun finish(outcome: String) {
        over = true
        timeout?.cancel()
        hedge?.cancel()
        tries.filter { it.running }.forEach { it.cancel() }
        val took = (context.now() - time.arrived).inWholeMilliseconds
        val last = tries.lastOrNull()?.upstream
        context.record(
            EventKind.REQUEST_ENDED,
            request.id,
            last,
            detail = "$outcome route=${route.name} tries=${tries.size} took=${took}ms",
        )
        ended()
    }

    private inner class PlainTry(val upstream: UpstreamName) : AnswerReceiver {
        private val body = context.answers.open()
        private var head: AnswerHead? = null
        var call: RunningCall? = null
        var running = true
            private set
        var mayHaveRun = true
            private set

        override fun onHead(head: AnswerHead) {
            this.head = head
        }

        override fun onContent(bytes: ByteArray) {
            if (body.add(bytes)) return
            call?.cancel()
            onFailure(CallFailure(FaultCause.PROTOCOL, sent = true, "the answer is larger than there is memory for"))
        }

        override fun onEnd() {
            val answer = WholeAnswer(checkNotNull(head), body.take())
            stop()
            if (answer.head.notRun) mayHaveRun = false
            if (!over) answered(this, answer)
        }

        override fun onFailure(failure: CallFailure) {
            stop()
            if (!failure.sent) mayHaveRun = false
            if (!over) failed(this, failure)
        }

        fun cancel() {
            stop()
            call?.cancel()
        }

        private fun stop() {
            if (!running) return
            running = false
            body.drop()
            context.board.health(upstream).inFlight -= 1
        }
    }

    private class WholeAnswer(val head: AnswerHead, val body: ByteArray)

    private companion object {
        const val SERVER_ERROR = 500

        /** Sendings of one request, including those that an upstream declined. */
        const val MOST_SENDINGS = 3

        /** Calls of this process at one upstream, for each of its slots. */
        const val PLACES_PER_SLOT = 3

        /** Part of the target after which an upstream counts as slow. */
        const val HEDGE_SHARE = 0.6
        val LEAST_TRY: Duration = 10.milliseconds
        val RETURN_AFTER: Duration = 60.milliseconds
    }
}

/** The course of one request. */
internal interface ForwardFlow {
    /** Begins; called once. */
    fun start()

    /** The caller is gone: everything that runs for it ends. */
    fun callerLeft()
}
