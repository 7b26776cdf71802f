package org.lovageladder.http.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.lovageladder.core.forward.AnswerReceiver
import org.lovageladder.core.forward.CallFailure
import org.lovageladder.core.forward.EngineAnswer
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.PrefillResult
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.RunningCall
import org.lovageladder.core.forward.Sending
import org.lovageladder.core.forward.UpstreamCalls
import org.lovageladder.core.forward.UpstreamNotice
import org.lovageladder.core.forward.UpstreamStart
import org.lovageladder.http.HttpCall
import org.lovageladder.http.HttpClient
import org.lovageladder.http.HttpFailure
import org.lovageladder.http.HttpField
import org.lovageladder.http.HttpReceiver
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.HttpWait
import org.tinylog.kotlin.Logger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Calls to upstreams by HTTP on kept connections. [threads] has one thread, on which all answers arrive. Whatever an
 * answer says of the requests that its upstream wants goes to [noticed] before the answer is told.
 */
public class HttpUpstreamCalls(
    threads: HttpThreads,
    private val wire: UpstreamWire,
    private val noticed: (UpstreamStart, UpstreamNotice) -> Unit = { _, _ -> },
) : UpstreamCalls,
    AutoCloseable {
    private val client = HttpClient(threads)

    override fun send(request: ForwardRequest, sending: Sending, receiver: AnswerReceiver): RunningCall {
        val fields = wire.runFields(request, sending).map { HttpField(it.name, it.value) }
        val call = HttpCall(HttpMethod.valueOf(request.method), request.target, request.body, fields = fields)
        val wait = HttpWait(minOf(sending.timeout, CONNECT_LIMIT), answer = null)
        val running = client.start(sending.address, call, Receiver(request, sending.upstream, receiver), wait = wait)
        return RunningCall { running.abandon() }
    }

    override fun prefill(
        request: ForwardRequest,
        sending: Sending,
        answer: (EngineAnswer<PrefillResult>) -> Unit,
    ): RunningCall {
        val call = TextCall(request.method, request.target)
        val fields = wire.prefillFields(request, sending)
        return client.askText(sending.address, call, sending.timeout, fields, request.body) { result ->
            notice(sending.upstream, result)
            answer(read(result) { wire.prefillResult(sending, it) })
        }
    }

    override fun reserve(
        engine: UpstreamStart,
        tokens: Int,
        keep: Duration,
        answer: (EngineAnswer<Reservation>) -> Unit,
    ): RunningCall = control(engine, wire.reserveCall(tokens, keep)) { answer(read(it, wire::reservation)) }

    override fun release(engine: UpstreamStart, reservation: Reservation) {
        control(engine, wire.releaseCall(reservation)) { logFailure("release", engine, it) }
    }

    override fun free(result: PrefillResult) {
        control(result.engine, wire.freeCall(result)) { logFailure("free", result.engine, it) }
    }

    override fun close(): Unit = client.close()

    private fun control(engine: UpstreamStart, call: TextCall, answer: (TextResult) -> Unit): RunningCall =
        client.askText(engine.address, call, CONTROL_LIMIT, emptyList(), ByteArray(0)) { result ->
            notice(engine, result)
            answer(result)
        }

    private fun notice(upstream: UpstreamStart, result: TextResult) {
        if (result !is TextResult.Answered) return
        wire.notice(result.answer.status, result.answer.fields)?.let { noticed(upstream, it) }
    }

    private fun <Value> read(result: TextResult, answered: (TextAnswer) -> EngineAnswer<Value>): EngineAnswer<Value> =
        when (result) {
            is TextResult.Answered -> answered(result.answer)
            is TextResult.Failed -> EngineAnswer.Failed(result.failure)
        }

    private fun logFailure(step: String, engine: UpstreamStart, result: TextResult) {
        if (result is TextResult.Failed) {
            Logger.warn {
                "$step at ${engine.address} failed; it lapses there: ${result.failure}"
            }
        }
    }

    private inner class Receiver(
        private val request: ForwardRequest,
        private val upstream: UpstreamStart,
        private val receiver: AnswerReceiver,
    ) : HttpReceiver {
        override fun isAnswer(headers: HttpHeaders): Boolean = wire.isAnswerTo(request) { headers.get(it) }

        override fun onHead(status: Int, headers: HttpHeaders) {
            val fields = passedOn(headers)
            wire.notice(status, fields)?.let { noticed(upstream, it) }
            receiver.onHead(wire.head(status, fields, upstream.name))
        }

        override fun onContent(bytes: ByteBuf) {
            if (bytes.isReadable) receiver.onContent(ByteBufUtil.getBytes(bytes))
        }

        override fun onEnd(): Unit = receiver.onEnd()

        override fun onFailure(failure: HttpFailure) {
            receiver.onFailure(CallFailure(failure.cause, failure.sent, failure.detail))
        }
    }

    private companion object {
        val CONNECT_LIMIT: Duration = 300.milliseconds
        val CONTROL_LIMIT: Duration = 300.milliseconds
    }
}
