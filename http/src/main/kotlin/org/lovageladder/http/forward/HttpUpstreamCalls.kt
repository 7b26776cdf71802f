package org.lovageladder.http.forward

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.RequestId
import org.lovageladder.core.forward.AnswerIdentifier
import org.lovageladder.core.forward.AnswerOrigin
import org.lovageladder.core.forward.AnswerReceiver
import org.lovageladder.core.forward.CallFailure
import org.lovageladder.core.forward.CallPlace
import org.lovageladder.core.forward.Cancellable
import org.lovageladder.core.forward.EngineAnswer
import org.lovageladder.core.forward.EventSink
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.HeaderField
import org.lovageladder.core.forward.PrefillResult
import org.lovageladder.core.forward.RequestLimitNotice
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.UpstreamAttempt
import org.lovageladder.core.forward.UpstreamIncarnation
import org.lovageladder.core.forward.UpstreamNotice
import org.lovageladder.core.forward.UpstreamPort
import org.lovageladder.http.AnswerRecognition
import org.lovageladder.http.ConnectionUse
import org.lovageladder.http.HttpCall
import org.lovageladder.http.HttpClient
import org.lovageladder.http.HttpFailure
import org.lovageladder.http.HttpField
import org.lovageladder.http.HttpReceiver
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.HttpTimeouts
import org.lovageladder.http.RunningHttpCall
import org.lovageladder.http.SkippedAnswer
import org.lovageladder.http.UnexpectedAnswer
import org.lovageladder.http.endsWithConnection
import org.tinylog.kotlin.Logger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Calls upstreams by HTTP over pooled connections, in the format of [codec]. [threads] must have one thread only, on
 * which all answers arrive. A notice in an answer goes to [onNotice] before the answer is delivered. Answers that are
 * skipped, since they belong to other calls, and those that come while a connection carries no call are recorded in
 * [eventSink], and calls that need a new connection are reported to [onConnect]. Calls about an engine's memory fail
 * after [engineCallTimeout].
 */
public class HttpUpstreamCalls(
    threads: HttpThreads,
    private val codec: UpstreamCodec,
    private val eventSink: EventSink = EventSink {},
    private val engineCallTimeout: Duration = ENGINE_CALL_TIMEOUT,
    private val onConnect: (CallPurpose) -> Unit = {},
    private val onNotice: (UpstreamIncarnation, UpstreamNotice) -> Unit = { _, _ -> },
) : UpstreamPort,
    AutoCloseable {
    private val client = HttpClient(threads, ::recordUnexpected) { call -> call.purpose?.let(onConnect) }

    override fun send(request: ForwardRequest, attempt: UpstreamAttempt, receiver: AnswerReceiver): Cancellable {
        val fields = codec.requestHeaders(request, attempt).map { HttpField(it.name, it.value) }
        val method = HttpMethod.valueOf(request.method)
        val call =
            HttpCall(
                method,
                request.target,
                request.body,
                fields = fields,
                recognition = recognitionOf(request),
                beforeSending = request.connection::readArrived,
                purpose = if (attempt.reservation == null) CallPurpose.PLAIN else CallPurpose.DECODE,
            )
        val timeouts = HttpTimeouts(minOf(attempt.timeout, CONNECT_TIMEOUT), answerTimeout = null)
        val adapter = AnswerAdapter(request, attempt.upstream, receiver)
        val running = client.start(attempt.address, call, adapter, timeouts = timeouts)
        adapter.running = running
        return Cancellable { running.cancel() }
    }

    override fun prefill(
        request: ForwardRequest,
        attempt: UpstreamAttempt,
        answer: (EngineAnswer<PrefillResult>) -> Unit,
    ): Cancellable {
        val call = TextCall(request.method, request.target)
        val fields = codec.prefillHeaders(request, attempt)
        val onSkipped = { skipped: SkippedAnswer -> recordSkipped(skipped, "prefill", attempt.upstream, request.id) }
        return client.sendText(
            attempt.address,
            call,
            attempt.timeout,
            fields,
            request.body,
            recognitionOf(request),
            onSkipped,
            beforeSending = request.connection::readArrived,
            purpose = CallPurpose.PREFILL,
        ) { result ->
            reportNotice(attempt.upstream, result, ::noticeOfRequest)
            answer(toEngineAnswer(result) { codec.parsePrefillResult(attempt, it) })
        }
    }

    override fun reserve(
        engine: UpstreamIncarnation,
        tokens: Int,
        reservationTime: Duration,
        answer: (EngineAnswer<Reservation>) -> Unit,
    ): Cancellable = callEngine(engine, codec.reserveCall(tokens, reservationTime), CallPurpose.RESERVE) {
        answer(toEngineAnswer(it, codec::parseReservation))
    }

    override fun releaseReservation(engine: UpstreamIncarnation, reservation: Reservation) {
        callEngine(engine, codec.releaseCall(reservation), CallPurpose.RELEASE) { logFailure("release", engine, it) }
    }

    override fun checkRunning(
        upstream: UpstreamIncarnation,
        healthPath: String?,
        answer: (Boolean) -> Unit,
    ): Cancellable = client.sendText(
        upstream.address,
        codec.runningCall(healthPath),
        RUNNING_CHECK_TIMEOUT,
        codec.runningHeaders(upstream),
        ByteArray(0),
        use = ConnectionUse.SINGLE,
        purpose = CallPurpose.CHECK,
    ) { result ->
        reportNotice(upstream, result, codec::parseNotice)
        answer(result is TextResult.Answered && codec.isRunning(upstream, result.answer))
    }

    override fun freePrefillResult(result: PrefillResult) {
        callEngine(result.engine, codec.freeCall(result), CallPurpose.FREE) { logFailure("free", result.engine, it) }
    }

    override fun close(): Unit = client.close()

    /** Makes a short call about an engine's memory. */
    private fun callEngine(
        engine: UpstreamIncarnation,
        call: TextCall,
        purpose: CallPurpose,
        answer: (TextResult) -> Unit,
    ): Cancellable = client.sendText(
        engine.address,
        call,
        engineCallTimeout,
        emptyList(),
        ByteArray(0),
        AnswerRecognition.Unidentified(::identifierOf),
        { recordSkipped(it, "memory call", engine) },
        purpose = purpose,
    ) { result ->
        reportNotice(engine, result, codec::parseNotice)
        answer(result)
    }

    private fun recognitionOf(request: ForwardRequest) = AnswerRecognition.ByIdentifier(request.id.text, ::identifierOf)

    private fun identifierOf(headers: HttpHeaders): String? = codec.answeredRequest { headers.get(it) }

    private fun recordSkipped(
        skipped: SkippedAnswer,
        step: String,
        upstream: UpstreamIncarnation,
        request: RequestId? = null,
    ) {
        val detail =
            "at $step: ${skipped.place} status=${skipped.status} identifier=${skipped.identifier} " +
                "earlier=${skipped.earlierCalls}"
        eventSink.record(
            EventDraft(EventKind.ANSWER_SKIPPED, request = request, upstream = upstream.name, detail = detail),
        )
    }

    private fun recordUnexpected(answer: UnexpectedAnswer) {
        val detail =
            "address=${answer.address} ${answer.lastCall} answered=${answer.answeredCalls} " +
                "idle=${answer.idleTime.inWholeMilliseconds}ms status=${answer.status} identifier=${answer.identifier}"
        eventSink.record(EventDraft(EventKind.ANSWER_UNEXPECTED, detail = detail))
    }

    private fun reportNotice(
        upstream: UpstreamIncarnation,
        result: TextResult,
        parse: (Int, List<HeaderField>) -> UpstreamNotice?,
    ) {
        if (result !is TextResult.Answered) return
        parse(result.answer.status, result.answer.fields)?.let { onNotice(upstream, it) }
    }

    /**
     * Parses the notice in the answer to a request. A successful answer that names no limit says that there is none;
     * errors, and answers to calls about memory, may leave out a limit that holds.
     */
    private fun noticeOfRequest(status: Int, fields: List<HeaderField>): UpstreamNotice? {
        val notice = codec.parseNotice(status, fields)
        val isSilentOnLimit = notice?.requestLimit == null && notice?.unreadablePart == null
        if (status !in SUCCESS_STATUSES || !isSilentOnLimit) return notice
        return (notice ?: UpstreamNotice()).copy(requestLimit = RequestLimitNotice.NotNamed)
    }

    private fun <Value> toEngineAnswer(
        result: TextResult,
        parse: (TextAnswer) -> EngineAnswer<Value>,
    ): EngineAnswer<Value> = when (result) {
        is TextResult.Answered -> parse(result.answer)
        is TextResult.Failed -> EngineAnswer.Failed(result.failure)
    }

    private fun logFailure(step: String, engine: UpstreamIncarnation, result: TextResult) {
        if (result is TextResult.Failed) {
            Logger.warn {
                "$step at ${engine.address} failed, the engine frees the memory when it expires: ${result.failure}"
            }
        }
    }

    /** Passes an upstream's answer to [receiver], as fast as the caller reads it. */
    private inner class AnswerAdapter(
        private val request: ForwardRequest,
        private val upstream: UpstreamIncarnation,
        private val receiver: AnswerReceiver,
    ) : HttpReceiver {
        private var place: CallPlace? = null
        lateinit var running: RunningHttpCall

        override fun onSent(place: CallPlace) {
            this.place = place
        }

        override fun onSkipped(skipped: SkippedAnswer): Unit = recordSkipped(skipped, "request", upstream, request.id)

        override fun onHead(status: Int, headers: HttpHeaders) {
            val fields = endToEndFields(headers)
            noticeOfRequest(status, fields)?.let { onNotice(upstream, it) }
            val endsWithConnection = endsWithConnection(HttpMethod.valueOf(request.method), status, headers)
            val origin = place?.let { originOf(it, headers, fields) }
            receiver.onHead(codec.parseHead(status, fields, upstream.name, endsWithConnection, origin))
        }

        private fun originOf(place: CallPlace, headers: HttpHeaders, fields: List<HeaderField>): AnswerOrigin {
            val identifier = if (identifierOf(headers) == null) AnswerIdentifier.NONE else AnswerIdentifier.OWN
            return AnswerOrigin(place, identifier, codec.isSigned(fields))
        }

        override fun onContent(bytes: ByteBuf) {
            if (bytes.isReadable) receiver.onContent(ByteBufUtil.getBytes(bytes))
            if (!request.connection.isCongested) return
            running.pauseReading()
            request.connection.onWritable(running::resumeReading)
        }

        override fun onEnd(): Unit = receiver.onEnd()

        override fun onFailure(failure: HttpFailure) {
            receiver.onFailure(CallFailure(failure.cause, failure.requestSent, failure.detail, failure.place))
        }
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299
        val CONNECT_TIMEOUT: Duration = 300.milliseconds
        val ENGINE_CALL_TIMEOUT: Duration = 300.milliseconds
        val RUNNING_CHECK_TIMEOUT: Duration = 800.milliseconds
    }
}
