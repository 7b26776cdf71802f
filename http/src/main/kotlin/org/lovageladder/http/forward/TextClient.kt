package org.lovageladder.http.forward

import io.netty.handler.codec.http.HttpMethod
import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import org.lovageladder.core.forward.CallFailure
import org.lovageladder.core.forward.Cancellable
import org.lovageladder.core.forward.HeaderField
import org.lovageladder.http.AnswerRecognition
import org.lovageladder.http.ConnectionUse
import org.lovageladder.http.HttpCall
import org.lovageladder.http.HttpClient
import org.lovageladder.http.HttpField
import org.lovageladder.http.HttpResult
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.HttpTimeouts
import org.lovageladder.http.SkippedAnswer
import kotlin.time.Duration

/** Result of a [TextCall]. */
public sealed interface TextResult {
    /** The complete answer. */
    public data class Answered(val answer: TextAnswer) : TextResult

    /** No complete answer came. */
    public data class Failed(val failure: CallFailure) : TextResult
}

/**
 * HTTP client for calls with short bodies, with a connection pool of its own. Connections of a peer often go silent
 * together, without a reset; after a call that timed out, no idle connection to its address is used again.
 */
public class TextClient(threads: HttpThreads) : AutoCloseable {
    private val client = HttpClient(threads)

    /** Sends [call] with the headers [fields]; [answer] is called on the event loop, after [timeout] at the latest. */
    public fun send(
        address: Address,
        call: TextCall,
        timeout: Duration,
        fields: List<HeaderField> = emptyList(),
        answer: (TextResult) -> Unit,
    ): Cancellable = client.sendText(address, call, timeout, fields, ByteArray(0)) { result ->
        if (result is TextResult.Failed && result.failure.cause == FaultCause.TIMEOUT) closeIdle(address)
        answer(result)
    }

    /**
     * The same on a new connection that is closed afterwards, for a peer that may write an answer twice and does not
     * name in it the call that it belongs to.
     */
    public fun sendOnNewConnection(
        address: Address,
        call: TextCall,
        timeout: Duration,
        fields: List<HeaderField> = emptyList(),
        answer: (TextResult) -> Unit,
    ): Cancellable = client.sendText(
        address,
        call,
        timeout,
        fields,
        ByteArray(0),
        use = ConnectionUse.SINGLE,
        answer = answer,
    )

    /** Closes the connections to [address] that carry no call, since they may have gone silent. */
    public fun closeIdle(address: Address): Unit = client.closeIdle(address)

    override fun close(): Unit = client.close()
}

/**
 * Sends [call] with the headers [fields] and reads its complete answer. [body] is sent, without a content type of its
 * own, when the call itself has no body. [recognition] tells the answer from others, which are reported to [onSkipped].
 * [beforeSending] may cancel the call.
 */
internal fun HttpClient.sendText(
    address: Address,
    call: TextCall,
    timeout: Duration,
    fields: List<HeaderField>,
    body: ByteArray,
    recognition: AnswerRecognition = AnswerRecognition.ByOrder,
    onSkipped: (SkippedAnswer) -> Unit = {},
    use: ConnectionUse = ConnectionUse.POOLED,
    beforeSending: () -> Unit = {},
    purpose: CallPurpose? = null,
    answer: (TextResult) -> Unit,
): Cancellable {
    val content = if (call.body.isEmpty()) body else call.body.encodeToByteArray()
    val contentType = if (call.body.isEmpty()) null else "application/json"
    val httpCall =
        HttpCall(
            method = HttpMethod.valueOf(call.method),
            path = call.path,
            body = content,
            contentType = contentType,
            fields = fields.map { HttpField(it.name, it.value) },
            maximumAnswerBytes = call.maximumAnswerBytes,
            recognition = recognition,
            beforeSending = beforeSending,
            purpose = purpose,
        )
    val running =
        callWhole(
            address,
            httpCall,
            HttpTimeouts(minOf(timeout, HttpClient.CONNECT_TIMEOUT), timeout),
            use = use,
            onSkipped = onSkipped,
        ) { answer(toTextResult(it)) }
    return Cancellable { running.cancel() }
}

private fun toTextResult(result: HttpResult): TextResult = when (result) {
    is HttpResult.Answered -> {
        val fields = endToEndFields(result.answer.headers)
        TextResult.Answered(TextAnswer(result.answer.status, fields, result.answer.body))
    }
    is HttpResult.Failed -> {
        val failure = result.failure
        TextResult.Failed(CallFailure(failure.cause, failure.requestSent, failure.detail, failure.place))
    }
}
