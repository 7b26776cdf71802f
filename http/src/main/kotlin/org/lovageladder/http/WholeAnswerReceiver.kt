package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.FaultCause
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.charset.StandardCharsets

/** Collects the first complete answer that [isAnswer] accepts by its headers, and passes it to [onResult]. */
internal class WholeAnswerReceiver(
    private val isAnswer: (HttpHeaders) -> Boolean = { true },
    private val onResult: (HttpResult) -> Unit,
) : HttpReceiver {
    private val body = ByteArrayOutputStream()
    private var status = 0
    private var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE

    override fun isAnswer(headers: HttpHeaders): Boolean = isAnswer.invoke(headers)

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
