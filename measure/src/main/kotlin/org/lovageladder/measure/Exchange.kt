package org.lovageladder.measure

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.net.http.HttpResponse
import java.util.concurrent.Flow

/** How one request ended. Times are in nanoseconds of the monotonic clock. */
internal sealed interface ExchangeEnd {
    /** An answer with status 200; [whole] when it was complete and its own. [arrivals] has one time per token. */
    data class Answered(val whole: Boolean, val arrivals: List<Long>, val endedAt: Long) : ExchangeEnd

    /** Any other answer. */
    data class Refused(val status: Int, val retryAfter: Boolean, val endedAt: Long) : ExchangeEnd

    /** No answer, or a broken one. */
    data class Failed(val cause: String) : ExchangeEnd
}

@Serializable
private data class Chunk(val choices: List<Choice>)

@Serializable
private data class Choice(val text: String)

private val chunkJson = Json { ignoreUnknownKeys = true }
private const val DATA_PREFIX = "data: "
private const val END_MARK = "data: [DONE]"
private const val STATUS_OK = 200

/** Reads the lines of one answer as they arrive and compares them with what the upstream has to answer. */
internal sealed class AnswerReader : Flow.Subscriber<String> {
    protected val arrivals = mutableListOf<Long>()

    override fun onSubscribe(subscription: Flow.Subscription) = subscription.request(Long.MAX_VALUE)

    override fun onError(failure: Throwable) = Unit

    override fun onComplete() = Unit

    protected abstract val whole: Boolean

    /** The end of the exchange after the whole of [response] arrived. */
    fun end(response: HttpResponse<*>): ExchangeEnd {
        val now = System.nanoTime()
        if (response.statusCode() == STATUS_OK) return ExchangeEnd.Answered(whole, arrivals, now)
        val retryAfter = response.headers().firstValue("Retry-After").isPresent
        return ExchangeEnd.Refused(response.statusCode(), retryAfter, now)
    }
}

/** Reads a token stream. */
internal class StreamReader(private val expected: List<String>) : AnswerReader() {
    private val tokens = mutableListOf<String>()
    private var ended = false

    override val whole: Boolean get() = ended && tokens == expected

    override fun onNext(line: String) {
        if (line == END_MARK) {
            ended = true
        } else if (line.startsWith(DATA_PREFIX)) {
            val text = textOf(line.removePrefix(DATA_PREFIX)) ?: return
            if (text.isEmpty()) return
            tokens += text
            arrivals += System.nanoTime()
        }
    }

    private fun textOf(json: String): String? = try {
        chunkJson.decodeFromString(Chunk.serializer(), json).choices.firstOrNull()?.text
    } catch (_: IllegalArgumentException) {
        null
    }
}

/** Reads a plain service's answer, which has to contain [echo]. */
internal class EchoReader(private val echo: String) : AnswerReader() {
    override var whole: Boolean = false
        private set

    override fun onNext(line: String) {
        arrivals += System.nanoTime()
        if (echo in line) whole = true
    }
}
