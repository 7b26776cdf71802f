package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.FaultCause
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.charset.StandardCharsets

/** Collects a complete answer and passes it to [onResult]; answers of other calls are reported to [onSkipped]. */
internal class WholeAnswerReceiver(
    private val onSkipped: (SkippedAnswer) -> Unit = {},
    private val onResult: (HttpResult) -> Unit,
) : HttpReceiver {
    private val body = ByteArrayOutputStream()
    private var status = 0
    private var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE

    override fun onSkipped(skipped: SkippedAnswer): Unit = onSkipped.invoke(skipped)

    override fun onHead(status: Int, headers: HttpHeaders) {
        this.status = status
        this.headers = headers
    }

    override fun onContent(bytes: ByteBuf) {
        bytes.readBytes(body, bytes.readableBytes())
    }

    override fun onEnd(): Unit = onResult(textResult())

    override fun onFailure(failure: HttpFailure): Unit = onResult(HttpResult.Failed(failure))

    private fun textResult(): HttpResult = try {
        val text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body.toByteArray())).toString()
        HttpResult.Answered(HttpAnswer(status, headers, text))
    } catch (_: CharacterCodingException) {
        val detail = "the body of the answer is not UTF-8 text"
        HttpResult.Failed(HttpFailure(FaultCause.PROTOCOL, requestSent = true, detail = detail))
    }
}
