package org.lovageladder.core.world

import org.lovageladder.core.Execution
import org.lovageladder.core.IdempotencyKey
import org.lovageladder.core.Moment
import org.lovageladder.core.Outcome
import org.lovageladder.core.RequestContent
import org.lovageladder.core.Submission
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration

/** One submission and what its caller received. */
internal class Caller(val number: Int, val submission: Submission, val submittedAt: Moment) {
    val tokens = mutableListOf<String>()
    var outcome: Outcome? = null
    var hasDisconnected = false

    /** The entry that served this caller ended or was not running, so that the connection was lost. */
    var hasLostConnection = false
}

/**
 * Checks the guarantees of the system from what was submitted, what each caller was told, what ran where, and since
 * when an upstream has been leaving. It knows nothing of the state inside the processes.
 */
internal class Oracle {
    private val executions = HashMap<IdempotencyKey, MutableList<Moment>>()
    private val leavingSince = HashMap<UpstreamName, Moment>()

    val callers = mutableListOf<Caller>()
    val violations = mutableListOf<String>()

    fun addViolation(text: String) {
        violations += text
    }

    fun recordExecution(key: IdempotencyKey, now: Moment) {
        val starts = executions.getOrPut(key) { mutableListOf() }
        starts += now
        if (starts.size > 1) addViolation("the call with key $key ran ${starts.size} times")
    }

    /** From [DRAIN_TIMEOUT] after [now], [upstream] must get no new work; null allows it again. */
    fun setLeaving(upstream: UpstreamName, now: Moment?) {
        if (now == null) leavingSince.remove(upstream) else leavingSince.putIfAbsent(upstream, now)
    }

    fun checkWorkAllowed(upstream: UpstreamName, now: Moment) {
        val since = leavingSince[upstream] ?: return
        if (now - since > DRAIN_TIMEOUT) addViolation("$upstream got work ${now - since} after it began to leave")
    }

    fun onToken(caller: Caller, index: Int, text: String) {
        val content = caller.submission.content as RequestContent.Generation
        if (caller.outcome != null) addViolation("caller ${caller.number} got a token after its outcome")
        if (index != caller.tokens.size) addViolation("caller ${caller.number} got token $index out of order")
        if (text != tokenText(content, index)) addViolation("caller ${caller.number} got the wrong token $text")
        caller.tokens += text
    }

    fun onOutcome(caller: Caller, outcome: Outcome, now: Moment) {
        if (caller.outcome != null) addViolation("caller ${caller.number} was answered twice")
        if (caller.hasDisconnected) addViolation("caller ${caller.number} was answered after it disconnected")
        caller.outcome = outcome
        when (outcome) {
            is Outcome.Generated -> checkGenerated(caller, outcome)
            is Outcome.Answered -> checkAnswered(caller, outcome)
            is Outcome.Refused -> checkRefused(caller, outcome, now)
        }
    }

    private fun checkGenerated(caller: Caller, outcome: Outcome.Generated) {
        val bound = (caller.submission.content as RequestContent.Generation).outputTokens
        val isComplete = outcome.outputTokens == bound && caller.tokens.size == bound
        if (!isComplete) addViolation("caller ${caller.number} got ${caller.tokens.size} of $bound tokens")
    }

    private fun checkAnswered(caller: Caller, outcome: Outcome.Answered) {
        val content = caller.submission.content as RequestContent.Plain
        if (outcome.answer != plainAnswer(content)) addViolation("caller ${caller.number} got the wrong answer")
    }

    private fun checkRefused(caller: Caller, outcome: Outcome.Refused, now: Moment) {
        val key = caller.submission.idempotencyKey ?: return
        if (outcome.execution != Execution.NOT_RUN) return
        val hasRun = executions[key].orEmpty().any { it <= now }
        if (hasRun) addViolation("caller ${caller.number} was told that $key did not run, but it ran")
    }

    /** Checks that every caller was answered and every upstream is idle, after all faults have ended. */
    fun checkAllFinished(upstreams: List<FakeUpstream>) {
        callers.filter { it.outcome == null && !it.hasDisconnected && !it.hasLostConnection }
            .forEach { addViolation("caller ${it.number} was never answered: ${it.submission}") }
        upstreams.filter { it.requests.isNotEmpty() }
            .forEach { addViolation("${it.entry.name} still holds ${it.piecesHeld} pieces for ${it.requests}") }
    }

    companion object {
        val DRAIN_TIMEOUT: Duration = Duration.parse("3s")
    }
}
