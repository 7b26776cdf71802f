package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Finds out whether upstreams outlive the end of one of their connections. The end alone does not tell: a process that
 * crashes ends its connections in the same way as one that ends an answer without framing, or cuts it off, and lives.
 * So the upstream is asked, with a call that begins after the end.
 *
 * The end may reach this process seconds late, when another start of the upstream answers under the same name. An
 * upstream that [hasEnded] by what the registry tells has therefore not outlived the end, whoever answers. Confined to
 * one thread.
 *
 * Load pattern: answers with neither a length nor chunks, beside upstreams that crash.
 */
internal class SurvivalCheck(
    private val port: UpstreamPort,
    private val scheduler: Scheduler,
    private val notices: UpstreamNotices,
    private val requestLimits: RequestLimits,
    private val eventSink: EventSink,
    private val hasEnded: (UpstreamIncarnation) -> Boolean,
) {
    private val questions = HashMap<UpstreamIncarnation, Question>()

    /**
     * Asks [upstream], at [healthPath] or an engine for its state when that is null, after a connection that carried
     * [request] ended. [answer] gets whether the upstream is certain to have outlived the end; false when it does not
     * answer. While it accepts no call, a caller that [mayWait] waits until it does, as it has no other way to its
     * answer; others are told false. Connections that end at nearly the same moment share one question.
     */
    fun start(
        upstream: UpstreamIncarnation,
        healthPath: String?,
        request: RequestId,
        mayWait: Boolean = false,
        answer: (Boolean) -> Unit,
    ): Cancellable {
        val now = scheduler.now()
        val waiting = questions[upstream]?.takeIf { now - it.firstEndAt < SHARING_TIME }
        val question = waiting ?: Question(upstream, healthPath, now).also(::schedule)
        val listener = Listener(request, mayWait, answer)
        question.listeners += listener
        return Cancellable { question.listeners -= listener }
    }

    private fun schedule(question: Question) {
        questions[question.upstream] = question
        scheduler.schedule(SETTLING_TIME) {
            questions.remove(question.upstream, question)
            if (question.listeners.isNotEmpty()) ask(question)
        }
    }

    private fun ask(question: Question) {
        if (acceptsCall(question.upstream)) {
            port.checkRunning(question.upstream, question.healthPath) { isRunning ->
                val isReplaced = hasEnded(question.upstream)
                tell(question, isRunning && !isReplaced, "running=$isRunning replaced=$isReplaced")
            }
        } else {
            postpone(question)
        }
    }

    private fun postpone(question: Question) {
        val now = scheduler.now()
        val retryAt = notices.pausedUntil(question.upstream, now) ?: (now + PERMIT_RETRY_INTERVAL)
        val isWorthWaiting = retryAt - question.firstEndAt <= MAXIMUM_WAIT
        tell(question, hasSurvived = false, NOT_ASKED) { !(isWorthWaiting && it.mayWait) }
        if (question.listeners.isEmpty()) return
        scheduler.schedule(retryAt - now) { if (question.listeners.isNotEmpty()) ask(question) }
    }

    private fun tell(
        question: Question,
        hasSurvived: Boolean,
        detail: String,
        isTold: (Listener) -> Boolean = { true },
    ) {
        val upstream = question.upstream.name
        while (true) {
            val listener = question.listeners.firstOrNull(isTold) ?: return
            question.listeners -= listener
            eventSink.record(EventDraft(EventKind.SURVIVAL_CHECKED, listener.request, upstream, detail = detail))
            listener.answer(hasSurvived)
        }
    }

    private fun acceptsCall(upstream: UpstreamIncarnation): Boolean {
        val now = scheduler.now()
        return notices.pausedUntil(upstream, now) == null && requestLimits.hasPermit(upstream.name, now)
    }

    /** A question to [upstream] for [listeners], the first of whose connections ended at [firstEndAt]. */
    private class Question(val upstream: UpstreamIncarnation, val healthPath: String?, val firstEndAt: Moment) {
        val listeners = LinkedHashSet<Listener>()
    }

    private class Listener(val request: RequestId, val mayWait: Boolean, val answer: (Boolean) -> Unit)

    private companion object {
        /** A process that crashes ends its connections and stops listening one after the other. */
        val SETTLING_TIME: Duration = 25.milliseconds

        /** Leaves most of [SETTLING_TIME] to the last of the ends that share a question. */
        val SHARING_TIME: Duration = 5.milliseconds
        val PERMIT_RETRY_INTERVAL: Duration = 100.milliseconds

        /** A caller that has its whole stream but the end waits no longer than for a slow stream. */
        val MAXIMUM_WAIT: Duration = 5.seconds
        const val NOT_ASKED = "not asked: it asked for a pause, or its limit leaves no room"
    }
}

/** Failure of an unframed answer whose upstream is not certain to have outlived its end. */
internal val END_UNCONFIRMED =
    CallFailure(
        FaultCause.CONNECTION_LOST,
        sent = true,
        detail = "the connection ended an unframed answer, and the upstream may have crashed",
    )
