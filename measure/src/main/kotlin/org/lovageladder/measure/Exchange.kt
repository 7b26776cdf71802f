package org.lovageladder.measure

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.net.http.HttpResponse
import java.util.concurrent.Flow

/** How one request ended. Times are in nanoseconds of the monotonic clock. */
internal sealed interface ExchangeResult {
    /** An answer with status 200; [isCorrect] if it has the expected content. [arrivals] has one time per token. */
    data class Answered(val isCorrect: Boolean, val arrivals: List<Long>, val endedAt: Long) : ExchangeResult

    /** Any other answer. */
    data class Refused(val status: Int, val hasRetryAfter: Boolean, val endedAt: Long) : ExchangeResult

    /** No answer, or an answer that was cut off. */
    data class Failed(val cause: String) : ExchangeResult
}

@Serializable
private data class Chunk(val choices: List<Choice>)

@Serializable
private data class Choice(val text: String)

private val chunkJson = Json { ignoreUnknownKeys = true }
private const val DATA_PREFIX = "data: "
private const val STREAM_END_LINE = "data: [DONE]"
private const val STATUS_OK = 200

/** Reads the lines of one answer as they arrive and compares them with the expected answer. */
internal sealed class AnswerReader : Flow.Subscriber<String> {
    protected val arrivals = mutableListOf<Long>()

    override fun onSubscribe(subscription: Flow.Subscription) = subscription.request(Long.MAX_VALUE)

    override fun onError(failure: Throwable) = Unit

    override fun onComplete() = Unit

    protected abstract val isCorrect: Boolean

    /** Returns the result of the exchange once [response] was received completely. */
    fun resultOf(response: HttpResponse<*>): ExchangeResult {
        val now = System.nanoTime()
        if (response.statusCode() == STATUS_OK) return ExchangeResult.Answered(isCorrect, arrivals, now)
        val hasRetryAfter = response.headers().firstValue("Retry-After").isPresent
        return ExchangeResult.Refused(response.statusCode(), hasRetryAfter, now)
    }
}

/** Reads a token stream. */
internal class TokenStreamReader(private val expectedTokens: List<String>) : AnswerReader() {
    private val tokens = mutableListOf<String>()
    private var endReceived = false

    override val isCorrect: Boolean get() = endReceived && tokens == expectedTokens

    override fun onNext(line: String) {
        if (line == STREAM_END_LINE) {
            endReceived = true
        } else if (line.startsWith(DATA_PREFIX)) {
            val text = tokenText(line.removePrefix(DATA_PREFIX)) ?: return
            if (text.isEmpty()) return
            tokens += text
            arrivals += System.nanoTime()
        }
    }

    private fun tokenText(json: String): String? = try {
        chunkJson.decodeFromString(Chunk.serializer(), json).choices.firstOrNull()?.text
    } catch (_: IllegalArgumentException) {
        null
    }
}

/** Reads the answer of a plain service, of which one line has to contain [expectedEcho]. */
internal class PlainAnswerReader(private val expectedEcho: String) : AnswerReader() {
    override var isCorrect: Boolean = false
        private set

    override fun onNext(line: String) {
        arrivals += System.nanoTime()
        if (expectedEcho in line) isCorrect = true
    }
}
