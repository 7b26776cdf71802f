package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.Execution
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Step
import org.lovageladder.core.UpstreamReport
import java.io.ByteArrayOutputStream
import java.nio.charset.StandardCharsets

/**
 * Reads an engine's token stream and reports each token as it arrives. The token count of the final report includes the
 * tokens before [fromIndex]. Nothing is reported after the final report.
 */
internal class DecodeReceiver(private val peer: String, fromIndex: Int, private val report: (UpstreamReport) -> Unit) :
    HttpReceiver {
    private val lines = LineReader(MAXIMUM_LINE_BYTES)
    private val errorBody = ByteArrayOutputStream()
    private var status = 0
    private var nextTokenIndex = fromIndex
    private var finishReason: String? = null
    private var isEnded = false

    override fun onHead(status: Int, headers: HttpHeaders) {
        this.status = status
    }

    override fun onContent(bytes: ByteBuf) {
        if (status != STATUS_OK) {
            val length = minOf(bytes.readableBytes(), MAXIMUM_LINE_BYTES - errorBody.size())
            bytes.readBytes(errorBody, length)
            return
        }
        try {
            lines.read(bytes) { if (!isEnded) processLine(it) }
        } catch (malformed: IllegalArgumentException) {
            fail(FaultCause.PROTOCOL, malformed.message.orEmpty(), Execution.UNKNOWN)
        }
    }

    override fun onEnd() {
        if (isEnded) return
        if (status == STATUS_OK) {
            fail(FaultCause.CONNECTION_LOST, "the stream ended after $nextTokenIndex tokens", Execution.UNKNOWN)
        } else {
            val body = errorBody.toString(StandardCharsets.UTF_8)
            end(engineFailure(Step.DECODE, peer, HttpAnswer(status, EmptyHttpHeaders.INSTANCE, body)))
        }
    }

    override fun onFailure(failure: HttpFailure) {
        if (!isEnded) end(callFailure(Step.DECODE, peer, failure))
    }

    private fun processLine(line: String) {
        if (!line.startsWith(DATA_FIELD)) return
        val data = line.removePrefix(DATA_FIELD).trim()
        if (data == END_OF_STREAM) finish() else processChunk(engineJson.decodeFromString<EngineChunk>(data))
    }

    private fun processChunk(chunk: EngineChunk) {
        chunk.error?.let {
            fail(FaultCause.CRASHED, it.message, Execution.UNKNOWN)
            return
        }
        val choice = chunk.choices.firstOrNull() ?: return
        if (choice.isToken) {
            report(UpstreamReport.Token(nextTokenIndex, choice.content))
            nextTokenIndex++
        }
        choice.finishReason?.let { finishReason = it }
    }

    private fun finish() {
        when (val reason = finishReason) {
            null -> fail(FaultCause.PROTOCOL, "the stream ended without a finish reason", Execution.UNKNOWN)
            in ABORT_REASONS -> fail(FaultCause.CANCELLED, "the engine ended the stream: $reason", Execution.RAN)
            else -> end(UpstreamReport.Finished(nextTokenIndex, reason))
        }
    }

    private fun fail(cause: FaultCause, detail: String, execution: Execution): Unit =
        end(UpstreamReport.Failed(Fault(Step.DECODE, peer, cause, detail), execution))

    private fun end(finalReport: UpstreamReport) {
        isEnded = true
        report(finalReport)
    }

    private companion object {
        const val DATA_FIELD = "data:"
        const val END_OF_STREAM = "[DONE]"
        const val MAXIMUM_LINE_BYTES = 1024 * 1024
        val ABORT_REASONS = setOf("cancelled", "abort", "error")
    }
}
