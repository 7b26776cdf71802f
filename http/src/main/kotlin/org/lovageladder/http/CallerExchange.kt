package org.lovageladder.http

import io.netty.channel.Channel
import kotlinx.serialization.encodeToString
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Execution
import org.lovageladder.core.Outcome
import org.lovageladder.core.RefusalReason
import org.lovageladder.core.RequestId

/** One request of a caller and the writing of its one answer. Runs on the event loop of its connection. */
internal class CallerExchange(
    val id: ExchangeId,
    private val shape: AnswerShape,
    private val channel: Channel,
    private val answer: AnswerWriter,
    private val exchanges: CallerExchanges,
) {
    private val beganAt = System.nanoTime()
    private val createdSeconds = System.currentTimeMillis() / MILLISECONDS_PER_SECOND
    private val collected = StringBuilder()
    private var nextIndex = 0
    private var ended = false

    /** Runs [action] on the connection's event loop. */
    inline fun onLoop(crossinline action: CallerExchange.() -> Unit) {
        if (channel.eventLoop().inEventLoop()) action() else channel.eventLoop().execute { action() }
    }

    fun token(index: Int, text: String) {
        if (ended || index < nextIndex || shape !is AnswerShape.Generation) return
        if (nextIndex == 0) exchanges.meters.firstTokenAfter(System.nanoTime() - beganAt)
        if (shape.stream) {
            if (nextIndex == 0) answer.beginStream()
            answer.streamEvent(chunk(shape, text, isFirst = nextIndex == 0))
        } else {
            collected.append(text)
        }
        nextIndex = index + 1
    }

    fun finish(request: RequestId, outcome: Outcome) {
        if (ended) return
        ended = true
        exchanges.end(this)
        val status = when {
            outcome is Outcome.Refused -> refuse(request, outcome)
            outcome is Outcome.Generated && shape is AnswerShape.Generation ->
                finishGeneration(shape, request, outcome)
            outcome is Outcome.Answered && shape == AnswerShape.Plain -> finishPlain(request, outcome)
            else -> refuse(request, wrongKind)
        }
        exchanges.meters.answeredAfter(System.nanoTime() - beganAt, status)
    }

    /** The caller's connection closed. */
    fun leave() {
        if (ended) return
        ended = true
        exchanges.leave(this)
    }

    private fun finishGeneration(shape: AnswerShape.Generation, request: RequestId, outcome: Outcome.Generated): Int {
        val usage = AnswerUsage(
            promptTokens = outcome.promptTokens,
            completionTokens = outcome.outputTokens,
            totalTokens = outcome.promptTokens + outcome.outputTokens,
        )
        if (shape.stream) {
            if (nextIndex == 0) answer.beginStream()
            answer.streamEvent(lastChunk(shape, request, outcome.finishReason, usage))
            answer.streamEvent(END_OF_STREAM)
            answer.endStream(request)
        } else {
            val whole = generationJson.encodeToString(whole(shape, request, outcome.finishReason, usage))
            answer.whole(STATUS_OK, JSON_TYPE, whole, listOf(requestField(request)))
        }
        return STATUS_OK
    }

    private fun finishPlain(request: RequestId, outcome: Outcome.Answered): Int {
        val replayed = HttpField("Idempotency-Replayed", "true").takeIf { outcome.replayed }
        val fields = listOfNotNull(requestField(request), replayed)
        answer.whole(outcome.answer.status, outcome.answer.contentType, outcome.answer.body, fields)
        return outcome.answer.status
    }

    private fun refuse(request: RequestId, outcome: Outcome.Refused): Int {
        val problem = problemOf(request, outcome)
        if (answer.streaming) {
            answer.breakStream(problem)
        } else {
            answer.problem(problem, listOf(requestField(request)))
        }
        return problem.status
    }

    private fun chunk(shape: AnswerShape.Generation, text: String, isFirst: Boolean): String {
        val choice = when (shape.shape) {
            GenerationShape.TEXT -> AnswerChoice(text = text)
            GenerationShape.CHAT -> AnswerChoice(delta = AnswerMessage(ASSISTANT.takeIf { isFirst }, text))
        }
        return generationJson.encodeToString(generation(shape, shape.shape.chunkName, choice))
    }

    private fun lastChunk(
        shape: AnswerShape.Generation,
        request: RequestId,
        finishReason: String,
        usage: AnswerUsage,
    ): String {
        val choice = when (shape.shape) {
            GenerationShape.TEXT -> AnswerChoice(text = "", finishReason = finishReason)
            GenerationShape.CHAT -> AnswerChoice(delta = AnswerMessage(), finishReason = finishReason)
        }
        val last = generation(shape, shape.shape.chunkName, choice).copy(usage = usage, request = request)
        return generationJson.encodeToString(last)
    }

    private fun whole(
        shape: AnswerShape.Generation,
        request: RequestId,
        finishReason: String,
        usage: AnswerUsage,
    ): GenerationAnswer {
        val text = collected.toString()
        val choice = when (shape.shape) {
            GenerationShape.TEXT -> AnswerChoice(text = text, finishReason = finishReason)
            GenerationShape.CHAT ->
                AnswerChoice(message = AnswerMessage(ASSISTANT, text), finishReason = finishReason)
        }
        return generation(shape, shape.shape.wholeName, choice).copy(usage = usage, request = request)
    }

    private fun generation(shape: AnswerShape.Generation, objectName: String, choice: AnswerChoice) = GenerationAnswer(
        id = "cmpl-${id.number}",
        objectName = objectName,
        created = createdSeconds,
        model = shape.model,
        choices = listOf(choice),
    )

    private fun requestField(request: RequestId) = HttpField(REQUEST_HEADER, request.text)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000
        const val ASSISTANT = "assistant"
        const val END_OF_STREAM = "[DONE]"
        val wrongKind = Outcome.Refused(
            reason = RefusalReason.UPSTREAM_FAILED,
            execution = Execution.RAN,
            detail = "the answer is of another kind than the request",
        )
    }
}
