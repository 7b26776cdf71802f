package org.lovageladder.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.Submission
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** A complete request of a caller, not yet parsed. */
internal class ReceivedRequest(val method: String, val target: String, val headers: HttpHeaders, val body: ByteArray)

/** A submission and the format of its answer. */
internal data class ParsedRequest(val submission: Submission, val answerFormat: AnswerFormat)

/** Parses requests into submissions. Large bodies are parsed on a separate thread, to keep event loops free. */
internal class SubmissionReader : AutoCloseable {
    private val largeBodies: ExecutorService = Executors.newSingleThreadExecutor { task ->
        Thread(task, "http-large-bodies").apply { isDaemon = true }
    }

    /** Parses [request] and passes the result to [onRead], on this thread or on the one for large bodies. */
    fun read(request: ReceivedRequest, onRead: (Result<ParsedRequest, RequestError>) -> Unit) {
        if (request.body.size <= MAXIMUM_INLINE_BODY_BYTES) {
            onRead(parse(request))
        } else {
            largeBodies.execute { onRead(parse(request)) }
        }
    }

    override fun close() {
        largeBodies.shutdownNow()
    }

    private fun parse(request: ReceivedRequest): Result<ParsedRequest, RequestError> = try {
        Ok(parseRequest(request))
    } catch (invalid: InvalidRequestException) {
        Err(invalid.error)
    }

    private companion object {
        const val MAXIMUM_INLINE_BODY_BYTES = 64 * 1024
    }
}
