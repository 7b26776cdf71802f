package org.lovageladder.http.forward

import io.netty.handler.codec.http.HttpMethod
import org.lovageladder.core.Address
import org.lovageladder.core.forward.CallFailure
import org.lovageladder.core.forward.HeaderField
import org.lovageladder.core.forward.RunningCall
import org.lovageladder.http.HttpCall
import org.lovageladder.http.HttpClient
import org.lovageladder.http.HttpField
import org.lovageladder.http.HttpResult
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.HttpWait
import kotlin.time.Duration

/** Result of a [TextCall]. */
public sealed interface TextResult {
    /** The peer answered. */
    public data class Answered(val answer: TextAnswer) : TextResult

    /** No whole answer came. */
    public data class Failed(val failure: CallFailure) : TextResult
}

/** HTTP client for short calls, on kept connections of its own. */
public class TextClient(threads: HttpThreads) : AutoCloseable {
    private val client = HttpClient(threads)

    /** Sends [call]; [answer] is called on the event loop, within [limit]. */
    public fun ask(
        address: Address,
        call: TextCall,
        limit: Duration,
        fields: List<HeaderField> = emptyList(),
        answer: (TextResult) -> Unit,
    ): RunningCall = client.askText(address, call, limit, fields, ByteArray(0), answer)

    override fun close(): Unit = client.close()
}

/** Sends a call with [fields], and with [body] unless the call has one of its own; its answer is read whole. */
internal fun HttpClient.askText(
    address: Address,
    call: TextCall,
    limit: Duration,
    fields: List<HeaderField>,
    body: ByteArray,
    answer: (TextResult) -> Unit,
): RunningCall {
    val content = if (call.body.isEmpty()) body else call.body.encodeToByteArray()
    val type = if (call.body.isEmpty()) null else "application/json"
    val http =
        HttpCall(
            method = HttpMethod.valueOf(call.method),
            path = call.path,
            body = content,
            contentType = type,
            fields = fields.map { HttpField(it.name, it.value) },
            answerBytes = call.answerBytes,
        )
    val running = ask(address, http, HttpWait(minOf(limit, HttpClient.CONNECT_LIMIT), limit)) { answer(textResult(it)) }
    return RunningCall { running.abandon() }
}

private fun textResult(result: HttpResult): TextResult = when (result) {
    is HttpResult.Answered -> {
        val fields = passedOn(result.answer.headers)
        TextResult.Answered(TextAnswer(result.answer.status, fields, result.answer.body))
    }
    is HttpResult.Failed -> {
        val failure = result.failure
        TextResult.Failed(CallFailure(failure.cause, failure.sent, failure.detail))
    }
}
