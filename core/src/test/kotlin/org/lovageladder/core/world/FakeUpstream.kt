package org.lovageladder.core.world

import org.lovageladder.core.AttemptId
import org.lovageladder.core.Execution
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.PIECE_TOKENS
import org.lovageladder.core.PlainAnswer
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.RequestContent
import org.lovageladder.core.Step
import org.lovageladder.core.TransferTicket
import org.lovageladder.core.UpstreamCall
import org.lovageladder.core.UpstreamReport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An engine or plain service. Its calls outlive the companion and hold memory until they end or are cancelled. */
internal class FakeUpstream(
    val entry: ReleaseEntry.Upstream,
    private val time: VirtualTime,
    private val random: Random,
    private val oracle: Oracle,
) {
    private class Call(val pieces: Int, val report: (UpstreamReport) -> Unit)

    private val running = LinkedHashMap<String, Call>()

    var isStalled = false
    var slowFactor = 1
    var answersToDrop = 0

    val piecesHeld: Int get() = running.values.sumOf { it.pieces }
    val requests: List<String> get() = running.keys.toList()

    fun start(attempt: AttemptId, call: UpstreamCall, report: (UpstreamReport) -> Unit) {
        val name = attempt.toString()
        when (call) {
            is UpstreamCall.Prefill -> prefill(name, report)
            is UpstreamCall.Decode -> decode(name, call, report)
            is UpstreamCall.Plain -> plain(name, call, report)
        }
        oracle.checkWorkAllowed(entry.name, time.now)
    }

    fun cancel(name: String): Boolean {
        val call = running.remove(name) ?: return true
        call.report(UpstreamReport.Failed(fault(FaultCause.CANCELLED), Execution.UNKNOWN))
        return true
    }

    private fun prefill(name: String, report: (UpstreamReport) -> Unit) {
        running[name] = Call(0, report)
        afterStepTime {
            if (running.remove(name) != null) {
                report(UpstreamReport.PrefillReady(TransferTicket("{}", 1, 800.milliseconds)))
            }
        }
    }

    private fun decode(name: String, call: UpstreamCall.Decode, report: (UpstreamReport) -> Unit) {
        val pieces = (call.content.promptTokens + call.outputBound + PIECE_TOKENS - 1) / PIECE_TOKENS
        if (piecesHeld + pieces > entry.pieces) {
            oracle.addViolation("${entry.name} was given more than its memory can hold")
        }
        running[name] = Call(pieces, report)
        produceToken(name, call, call.fromIndex)
    }

    private fun produceToken(name: String, call: UpstreamCall.Decode, index: Int) {
        afterStepTime {
            val current = running[name] ?: return@afterStepTime
            if (index < call.outputBound) {
                current.report(UpstreamReport.Token(index, tokenText(call.content, index)))
                produceToken(name, call, index + 1)
            } else {
                running.remove(name)
                current.report(UpstreamReport.Finished(call.outputBound, "length"))
            }
        }
    }

    private fun plain(name: String, call: UpstreamCall.Plain, report: (UpstreamReport) -> Unit) {
        running[name] = Call(0, report)
        call.idempotencyKey?.let { oracle.recordExecution(it, time.now) }
        afterStepTime {
            if (running.remove(name) != null) {
                val isAnswerDropped = answersToDrop > 0
                if (isAnswerDropped) answersToDrop--
                report(if (isAnswerDropped) lostAnswer() else UpstreamReport.Answered(plainAnswer(call.content)))
            }
        }
    }

    private fun lostAnswer() = UpstreamReport.Failed(fault(FaultCause.CONNECTION_LOST), Execution.UNKNOWN)

    private fun fault(cause: FaultCause) = Fault(Step.DECODE, entry.name.text, cause)

    /** Runs [action] after the time of one step; while the upstream is stalled, the step is postponed. */
    private fun afterStepTime(action: () -> Unit) {
        val delay: Duration = (1 + random.nextInt(MAXIMUM_STEP_MILLISECONDS)).milliseconds * slowFactor
        time.after(delay) { if (isStalled) afterStepTime(action) else action() }
    }

    private companion object {
        const val MAXIMUM_STEP_MILLISECONDS = 8
    }
}

internal fun tokenText(content: RequestContent.Generation, index: Int): String = "${content.body}:$index"

internal fun plainAnswer(content: RequestContent.Plain): PlainAnswer = PlainAnswer(200, null, "answer:${content.body}")
