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

/** An engine or plain service that outlives the companion beside it and holds memory until told otherwise. */
internal class FakeUpstream(
    val entry: ReleaseEntry.Upstream,
    private val time: VirtualTime,
    private val random: Random,
    private val oracle: Oracle,
) {
    private class Call(val pieces: Int, val report: (UpstreamReport) -> Unit)

    private val running = LinkedHashMap<String, Call>()

    var stalled = false
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
        oracle.started(entry.name, time.now)
    }

    fun cancel(name: String): Boolean {
        val call = running.remove(name) ?: return true
        call.report(UpstreamReport.Failed(fault(FaultCause.CANCELLED), Execution.UNKNOWN))
        return true
    }

    private fun prefill(name: String, report: (UpstreamReport) -> Unit) {
        running[name] = Call(0, report)
        later {
            if (running.remove(name) != null) {
                report(UpstreamReport.PrefillReady(TransferTicket("{}", 1, 800.milliseconds)))
            }
        }
    }

    private fun decode(name: String, call: UpstreamCall.Decode, report: (UpstreamReport) -> Unit) {
        val pieces = (call.content.promptTokens + call.outputBound + PIECE_TOKENS - 1) / PIECE_TOKENS
        if (piecesHeld + pieces > entry.pieces) {
            oracle.violation("${entry.name} was given more than its memory holds")
        }
        running[name] = Call(pieces, report)
        token(name, call, call.fromIndex)
    }

    private fun token(name: String, call: UpstreamCall.Decode, index: Int) {
        later {
            val current = running[name] ?: return@later
            if (index < call.outputBound) {
                current.report(UpstreamReport.Token(index, tokenText(call.content, index)))
                token(name, call, index + 1)
            } else {
                running.remove(name)
                current.report(UpstreamReport.Finished(call.outputBound, "length"))
            }
        }
    }

    private fun plain(name: String, call: UpstreamCall.Plain, report: (UpstreamReport) -> Unit) {
        running[name] = Call(0, report)
        call.idempotencyKey?.let { oracle.executed(it, time.now) }
        later {
            if (running.remove(name) != null) {
                val dropped = answersToDrop > 0
                if (dropped) answersToDrop--
                report(if (dropped) lostAnswer() else UpstreamReport.Answered(plainAnswer(call.content)))
            }
        }
    }

    private fun lostAnswer() = UpstreamReport.Failed(fault(FaultCause.CONNECTION_LOST), Execution.UNKNOWN)

    private fun fault(cause: FaultCause) = Fault(Step.DECODE, entry.name.text, cause)

    /** Runs [step] after this upstream's time for one step; while it is stalled, steps wait. */
    private fun later(step: () -> Unit) {
        val delay: Duration = (1 + random.nextInt(MAX_STEP_MILLISECONDS)).milliseconds * slowFactor
        time.after(delay) { if (stalled) later(step) else step() }
    }

    private companion object {
        const val MAX_STEP_MILLISECONDS = 8
    }
}

internal fun tokenText(content: RequestContent.Generation, index: Int): String = "${content.body}:$index"

internal fun plainAnswer(content: RequestContent.Plain): PlainAnswer = PlainAnswer(200, null, "answer:${content.body}")
