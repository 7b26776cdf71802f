package org.lovageladder.core.world

import org.lovageladder.core.Execution
import org.lovageladder.core.IdempotencyKey
import org.lovageladder.core.Moment
import org.lovageladder.core.Outcome
import org.lovageladder.core.RequestContent
import org.lovageladder.core.Submission
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration

/** One submission as its caller sees it. */
internal class Caller(val number: Int, val submission: Submission, val submittedAt: Moment) {
    val tokens = mutableListOf<String>()
    var outcome: Outcome? = null
    var left = false

    /** The entry that served this caller was killed, so that it got a broken connection. */
    var connectionLost = false
}

/**
 * Knows only what was submitted, what each caller was told, what ran where and since when an upstream should get no
 * work, and from that alone whether a promise was broken.
 */
internal class Oracle {
    private val executions = HashMap<IdempotencyKey, MutableList<Moment>>()
    private val closedSince = HashMap<UpstreamName, Moment>()

    val callers = mutableListOf<Caller>()
    val violations = mutableListOf<String>()

    fun violation(text: String) {
        violations += text
    }

    fun executed(key: IdempotencyKey, now: Moment) {
        val starts = executions.getOrPut(key) { mutableListOf() }
        starts += now
        if (starts.size > 1) violation("action $key ran ${starts.size} times")
    }

    /** From [now] on [upstream] is to get no new work once [DRAIN_BOUND] has passed; null opens it again. */
    fun closed(upstream: UpstreamName, now: Moment?) {
        if (now == null) closedSince.remove(upstream) else closedSince.putIfAbsent(upstream, now)
    }

    fun started(upstream: UpstreamName, now: Moment) {
        val since = closedSince[upstream] ?: return
        if (now - since > DRAIN_BOUND) violation("$upstream got work ${now - since} after it was leaving")
    }

    fun token(caller: Caller, index: Int, text: String) {
        val content = caller.submission.content as RequestContent.Generation
        if (caller.outcome != null) violation("caller ${caller.number} got a token after its outcome")
        if (index != caller.tokens.size) violation("caller ${caller.number} got token $index out of turn")
        if (text != tokenText(content, index)) violation("caller ${caller.number} got another's token $text")
        caller.tokens += text
    }

    fun outcome(caller: Caller, outcome: Outcome, now: Moment) {
        if (caller.outcome != null) violation("caller ${caller.number} was answered twice")
        if (caller.left) violation("caller ${caller.number} was answered after it left")
        caller.outcome = outcome
        when (outcome) {
            is Outcome.Generated -> generated(caller, outcome)
            is Outcome.Answered -> answered(caller, outcome)
            is Outcome.Refused -> refused(caller, outcome, now)
        }
    }

    private fun generated(caller: Caller, outcome: Outcome.Generated) {
        val bound = (caller.submission.content as RequestContent.Generation).outputTokens
        val whole = outcome.outputTokens == bound && caller.tokens.size == bound
        if (!whole) violation("caller ${caller.number} got ${caller.tokens.size} of $bound tokens")
    }

    private fun answered(caller: Caller, outcome: Outcome.Answered) {
        val content = caller.submission.content as RequestContent.Plain
        if (outcome.answer != plainAnswer(content)) violation("caller ${caller.number} got another's answer")
    }

    private fun refused(caller: Caller, outcome: Outcome.Refused, now: Moment) {
        val key = caller.submission.idempotencyKey ?: return
        if (outcome.execution != Execution.NOT_RUN) return
        val ranBefore = executions[key].orEmpty().any { it <= now }
        if (ranBefore) violation("caller ${caller.number} was told that $key did not run, but it ran")
    }

    /** Checks what must hold once every fault is gone and enough time passed. */
    fun settled(upstreams: List<FakeUpstream>) {
        callers.filter { it.outcome == null && !it.left && !it.connectionLost }
            .forEach { violation("caller ${it.number} was never answered: ${it.submission}") }
        upstreams.filter { it.requests.isNotEmpty() }
            .forEach { violation("${it.entry.name} still holds ${it.piecesHeld} pieces for ${it.requests}") }
    }

    companion object {
        val DRAIN_BOUND: Duration = Duration.parse("3s")
    }
}
