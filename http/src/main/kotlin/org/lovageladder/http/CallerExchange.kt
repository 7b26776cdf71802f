package org.lovageladder.http

import io.netty.channel.Channel
import kotlinx.serialization.encodeToString
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Execution
import org.lovageladder.core.Outcome
import org.lovageladder.core.RefusalReason
import org.lovageladder.core.RequestId

/** One request of a caller; writes its answer. Confined to the event loop of its connection. */
internal class CallerExchange(
    val id: ExchangeId,
    private val format: AnswerFormat,
    private val channel: Channel,
    private val answer: AnswerWriter,
    private val exchanges: CallerExchanges,
) {
    private val startedAt = System.nanoTime()
    private val createdSeconds = System.currentTimeMillis() / MILLISECONDS_PER_SECOND
    private val collectedText = StringBuilder()
    private var nextTokenIndex = 0
    private var isFinished = false

    /** Runs [action] on the event loop of the connection. */
    inline fun runOnEventLoop(crossinline action: CallerExchange.() -> Unit) {
        if (channel.eventLoop().inEventLoop()) action() else channel.eventLoop().execute { action() }
    }

    fun writeToken(index: Int, text: String) {
        if (isFinished || index < nextTokenIndex || format !is AnswerFormat.Generation) return
        if (nextTokenIndex == 0) exchanges.meters.recordFirstToken(System.nanoTime() - startedAt)
        if (format.stream) {
            if (nextTokenIndex == 0) answer.startStream()
            answer.writeEvent(tokenChunk(format, text, isFirst = nextTokenIndex == 0))
        } else {
            collectedText.append(text)
        }
        nextTokenIndex = index + 1
    }

    fun finish(request: RequestId, outcome: Outcome) {
        if (isFinished) return
        isFinished = true
        exchanges.remove(this)
        val status = when {
            outcome is Outcome.Refused -> writeRefusal(request, outcome)
            outcome is Outcome.Generated && format is AnswerFormat.Generation ->
                writeGenerationEnd(format, request, outcome)
            outcome is Outcome.Answered && format == AnswerFormat.Plain -> writePlainAnswer(request, outcome)
            else -> writeRefusal(request, mismatchedOutcome)
        }
        exchanges.meters.recordAnswer(System.nanoTime() - startedAt, status)
    }

    /** Called when the connection of the caller closed. */
    fun onCallerDisconnected() {
        if (isFinished) return
        isFinished = true
        exchanges.onCallerDisconnected(this)
    }

    private fun writeGenerationEnd(
        format: AnswerFormat.Generation,
        request: RequestId,
        outcome: Outcome.Generated,
    ): Int {
        val usage = AnswerUsage(
            promptTokens = outcome.promptTokens,
            completionTokens = outcome.outputTokens,
            totalTokens = outcome.promptTokens + outcome.outputTokens,
        )
        if (format.stream) {
            if (nextTokenIndex == 0) answer.startStream()
            answer.writeEvent(lastChunk(format, request, outcome.finishReason, usage))
            answer.writeEvent(END_OF_STREAM)
            answer.endStream(request)
        } else {
            val answerJson = generationJson.encodeToString(wholeAnswer(format, request, outcome.finishReason, usage))
            answer.writeWhole(STATUS_OK, JSON_TYPE, answerJson, listOf(requestField(request)))
        }
        return STATUS_OK
    }

    private fun writePlainAnswer(request: RequestId, outcome: Outcome.Answered): Int {
        val replayed = HttpField("Idempotency-Replayed", "true").takeIf { outcome.replayed }
        val fields = listOfNotNull(requestField(request), replayed)
        answer.writeWhole(outcome.answer.status, outcome.answer.contentType, outcome.answer.body, fields)
        return outcome.answer.status
    }

    private fun writeRefusal(request: RequestId, outcome: Outcome.Refused): Int {
        val problem = problemOf(request, outcome)
        if (answer.streamStarted) {
            answer.abortStream(problem)
        } else {
            answer.writeProblem(problem, listOf(requestField(request)))
        }
        return problem.status
    }

    private fun tokenChunk(format: AnswerFormat.Generation, text: String, isFirst: Boolean): String {
        val choice = when (format.api) {
            GenerationApi.TEXT -> AnswerChoice(text = text)
            GenerationApi.CHAT -> AnswerChoice(delta = AnswerMessage(ASSISTANT.takeIf { isFirst }, text))
        }
        return generationJson.encodeToString(generationAnswer(format, format.api.chunkObject, choice))
    }

    private fun lastChunk(
        format: AnswerFormat.Generation,
        request: RequestId,
        finishReason: String,
        usage: AnswerUsage,
    ): String {
        val choice = when (format.api) {
            GenerationApi.TEXT -> AnswerChoice(text = "", finishReason = finishReason)
            GenerationApi.CHAT -> AnswerChoice(delta = AnswerMessage(), finishReason = finishReason)
        }
        val last = generationAnswer(format, format.api.chunkObject, choice).copy(usage = usage, request = request)
        return generationJson.encodeToString(last)
    }

    private fun wholeAnswer(
        format: AnswerFormat.Generation,
        request: RequestId,
        finishReason: String,
        usage: AnswerUsage,
    ): GenerationAnswer {
        val text = collectedText.toString()
        val choice = when (format.api) {
            GenerationApi.TEXT -> AnswerChoice(text = text, finishReason = finishReason)
            GenerationApi.CHAT ->
                AnswerChoice(message = AnswerMessage(ASSISTANT, text), finishReason = finishReason)
        }
        return generationAnswer(format, format.api.answerObject, choice).copy(usage = usage, request = request)
    }

    private fun generationAnswer(format: AnswerFormat.Generation, objectName: String, choice: AnswerChoice) =
        GenerationAnswer(
            id = "cmpl-${id.number}",
            objectName = objectName,
            created = createdSeconds,
            model = format.model,
            choices = listOf(choice),
        )

    private fun requestField(request: RequestId) = HttpField(REQUEST_ID_HEADER, request.text)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000
        const val ASSISTANT = "assistant"
        const val END_OF_STREAM = "[DONE]"
        val mismatchedOutcome = Outcome.Refused(
            reason = RefusalReason.UPSTREAM_FAILED,
            execution = Execution.RAN,
            detail = "the outcome does not match the kind of request",
        )
    }
}
