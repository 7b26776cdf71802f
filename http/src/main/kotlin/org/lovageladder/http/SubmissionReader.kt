package org.lovageladder.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.Submission
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** A caller's request as it came, whole. */
internal class ReceivedRequest(val method: String, val target: String, val headers: HttpHeaders, val body: ByteArray)

/** A submission and how its answer is to be written. */
internal data class ParsedRequest(val submission: Submission, val answer: AnswerShape)

/** Turns requests into submissions. Large bodies are read on a thread of their own, to keep event loops free. */
internal class SubmissionReader : AutoCloseable {
    private val largeBodies: ExecutorService = Executors.newSingleThreadExecutor { task ->
        Thread(task, "http-large-bodies").apply { isDaemon = true }
    }

    /** Gives the result to [onRead], on this thread or another. */
    fun read(request: ReceivedRequest, onRead: (Result<ParsedRequest, InputFault>) -> Unit) {
        if (request.body.size <= SMALL_BODY_BYTES) {
            onRead(read(request))
        } else {
            largeBodies.execute { onRead(read(request)) }
        }
    }

    override fun close() {
        largeBodies.shutdownNow()
    }

    private fun read(request: ReceivedRequest): Result<ParsedRequest, InputFault> = try {
        Ok(parseRequest(request))
    } catch (rejected: InputRejected) {
        Err(rejected.fault)
    }

    private companion object {
        const val SMALL_BODY_BYTES = 64 * 1024
    }
}
