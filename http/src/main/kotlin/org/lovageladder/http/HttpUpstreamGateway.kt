package org.lovageladder.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.encodeToString
import org.lovageladder.core.AttemptId
import org.lovageladder.core.Execution
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.Step
import org.lovageladder.core.UpstreamCall
import org.lovageladder.core.UpstreamGateway
import org.lovageladder.core.UpstreamOrder
import org.lovageladder.core.UpstreamReport
import kotlin.time.Duration.Companion.seconds

/**
 * Opens a gateway that calls upstreams by HTTP: engines through the OpenAI-compatible interface, plain services with
 * the caller's own method and path.
 *
 * The token count of [UpstreamReport.Finished] starts at index 0, also for a resumed stream. A cancelled engine call
 * ends with a report of cause [FaultCause.CANCELLED]. A plain service has no cancel call, so its connection is closed.
 */
public fun openHttpUpstreamGateway(threads: HttpThreads = HttpThreads.shared): UpstreamGateway =
    HttpUpstreamGateway(HttpClient(threads))

private class HttpUpstreamGateway(private val client: HttpClient) : UpstreamGateway {
    private val calls = StartedCalls()

    override fun start(
        attempt: AttemptId,
        upstream: ReleaseEntry.Upstream,
        call: UpstreamCall,
        report: (UpstreamReport) -> Unit,
    ) {
        try {
            when (call) {
                is UpstreamCall.Prefill -> startPrefill(attempt, upstream, call, report)
                is UpstreamCall.Decode -> startDecode(attempt, upstream, call, report)
                is UpstreamCall.Plain -> startPlain(attempt, upstream, call, report)
            }
        } catch (malformed: IllegalArgumentException) {
            val fault = Fault(stepOf(call), upstream.name.text, FaultCause.PROTOCOL, malformed.message.orEmpty())
            report(UpstreamReport.Failed(fault, Execution.NOT_RUN))
        }
    }

    override fun cancel(attempt: AttemptId, upstream: ReleaseEntry.Upstream, done: (Boolean) -> Unit) {
        val started = calls.find(attempt)
        when {
            started == null -> done(true)
            started.isPlain -> {
                started.disconnect()
                done(true)
            }
            else -> {
                started.suppressTokens()
                sendCancel(attempt.toString(), upstream) { answer -> done(started.confirmCancel(answer)) }
            }
        }
    }

    override fun running(upstream: ReleaseEntry.Upstream, listed: (List<String>?) -> Unit) {
        client.callWhole(upstream.address, RUNNING_CALL, CONTROL_TIMEOUTS) { result ->
            val answer = successfulAnswer(result)
            listed(answer?.let { decodeOrNull<RunningAnswer>(it) }?.running?.map { it.requestName })
        }
    }

    override fun cancelByName(requestName: String, upstream: ReleaseEntry.Upstream, done: (Boolean) -> Unit) {
        sendCancel(requestName, upstream) { done(it != null) }
    }

    override fun order(upstream: ReleaseEntry.Upstream, order: UpstreamOrder, fencing: Long, done: (Fault?) -> Unit) {
        val call = orderCall(order, fencing)
        client.callWhole(upstream.address, call, ORDER_TIMEOUTS, ConnectionUse.FRESH) { result ->
            done(orderFault(upstream.name.text, order, result))
        }
    }

    override fun close(): Unit = client.close()

    private fun startPrefill(
        attempt: AttemptId,
        upstream: ReleaseEntry.Upstream,
        call: UpstreamCall.Prefill,
        report: (UpstreamReport) -> Unit,
    ) {
        val request = engineCall(attempt, call.content.path, prefillBody(call))
        val started = calls.add(attempt, report, isPlain = false)
        val receiver = WholeAnswerReceiver { started.report(prefillReport(upstream.name.text, it)) }
        started.httpCall = client.start(upstream.address, request, receiver)
    }

    private fun startDecode(
        attempt: AttemptId,
        upstream: ReleaseEntry.Upstream,
        call: UpstreamCall.Decode,
        report: (UpstreamReport) -> Unit,
    ) {
        val request = engineCall(attempt, call.content.path, decodeBody(call))
        val started = calls.add(attempt, report, isPlain = false)
        val receiver = DecodeReceiver(upstream.name.text, call.fromIndex, started::report)
        started.httpCall = client.start(upstream.address, request, receiver)
    }

    private fun startPlain(
        attempt: AttemptId,
        upstream: ReleaseEntry.Upstream,
        call: UpstreamCall.Plain,
        report: (UpstreamReport) -> Unit,
    ) {
        val request = plainCall(attempt, call)
        val started = calls.add(attempt, report, isPlain = true)
        val receiver = WholeAnswerReceiver { started.report(plainReport(upstream.name.text, it)) }
        val use = if (call.idempotencyKey == null) ConnectionUse.POOLED else ConnectionUse.FRESH
        started.httpCall = client.start(upstream.address, request, receiver, use)
    }

    /** Asks the engine to cancel a call. The result is whether it ended one with that name; null without an answer. */
    private fun sendCancel(requestName: String, upstream: ReleaseEntry.Upstream, onAnswer: (Boolean?) -> Unit) {
        val body = engineJson.encodeToString(CancelBody(requestName))
        val call = jsonPost("/v1/cancel", body, recognition = UNIDENTIFIED)
        client.callWhole(upstream.address, call, CONTROL_TIMEOUTS) { result ->
            onAnswer(successfulAnswer(result)?.let { decodeOrNull<CancelAnswer>(it) }?.cancelled)
        }
    }

    private companion object {
        val RUNNING_CALL = HttpCall(HttpMethod.GET, "/v1/running", recognition = UNIDENTIFIED)
        val CONTROL_TIMEOUTS = HttpTimeouts(connectTimeout = 1.seconds, answerTimeout = 2.seconds)
        val ORDER_TIMEOUTS = HttpTimeouts(connectTimeout = 1.seconds, answerTimeout = 30.seconds)
    }
}

private fun stepOf(call: UpstreamCall): Step = when (call) {
    is UpstreamCall.Prefill -> Step.PREFILL
    is UpstreamCall.Decode -> Step.DECODE
    is UpstreamCall.Plain -> Step.PLAIN_CALL
}

/** Engines repeat the identifier of a prefill or decode in its answer; those that do not get one on a connection. */
private fun engineCall(attempt: AttemptId, path: String, body: String): HttpCall {
    val identifier = attempt.toString()
    val fields = listOf(HttpField(ATTEMPT_HEADER, identifier))
    return jsonPost(path, body, fields, AnswerRecognition.ByIdentifier(identifier, ::identifierOf))
}

/** The attempt that an answer names. Engines and proxies that write identifiers of their own name none. */
private fun identifierOf(headers: HttpHeaders): String? = headers.get(ATTEMPT_HEADER)?.takeIf(ATTEMPT_FORMAT::matches)

/** Format of [AttemptId.toString]: the identifier of a request, a point and a number. */
private val ATTEMPT_FORMAT = Regex(".+\\.\\d+")

private val UNIDENTIFIED = AnswerRecognition.Unidentified(::identifierOf)

private fun successfulAnswer(result: HttpResult): HttpAnswer? =
    (result as? HttpResult.Answered)?.answer?.takeIf { it.status == STATUS_OK }

private inline fun <reified Body> decodeOrNull(answer: HttpAnswer): Body? = try {
    engineJson.decodeFromString<Body>(answer.body)
} catch (_: IllegalArgumentException) {
    null
}
