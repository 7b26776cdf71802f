package org.lovageladder.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.ClassName
import org.lovageladder.core.IdempotencyKey
import org.lovageladder.core.RequestContent
import org.lovageladder.core.ServiceName
import org.lovageladder.core.Submission
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.charset.StandardCharsets
import java.security.MessageDigest
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** A caller's request as it came, whole. */
internal class ReceivedRequest(
    val method: String,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteArray,
)

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
        Ok(parse(request))
    } catch (rejected: InputRejected) {
        Err(rejected.fault)
    }

    private companion object {
        const val SMALL_BODY_BYTES = 64 * 1024
    }
}

/** Ends the reading of a request. */
internal class InputRejected(val fault: InputFault) : Exception(fault.detail, null, false, false)

internal const val CLASS_HEADER: String = "Lovageladder-Class"
internal const val SERVICE_HEADER: String = "Lovageladder-Service"
internal const val REQUEST_HEADER: String = "Lovageladder-Request"
internal const val KEY_HEADER: String = "Idempotency-Key"

private const val SERVICES_PREFIX = "/services/"
private const val MAXIMUM_NAME_CHARACTERS = 255
private val visibleAscii = '!'..'~'

private fun parse(request: ReceivedRequest): ParsedRequest {
    val path = request.target.substringBefore('?')
    val shape = GenerationShape.entries.find { it.path == path }
    return when {
        shape != null -> generation(request, shape)
        path.startsWith(SERVICES_PREFIX) && path.length > SERVICES_PREFIX.length -> plain(request)
        else -> throw InputRejected(
            InputFault(STATUS_NOT_FOUND, "unknown-path", "path '$path' is not served; allowed are $ALLOWED_PATHS", "path"),
        )
    }
}

private const val ALLOWED_PATHS = "/v1/completions, /v1/chat/completions and /services/NAME/..."

private fun generation(request: ReceivedRequest, shape: GenerationShape): ParsedRequest {
    if (request.method != "POST") {
        val detail = "method ${request.method} is not served at ${shape.path}; allowed is POST"
        throw InputRejected(InputFault(STATUS_METHOD_NOT_ALLOWED, "wrong-method", detail, "method"))
    }
    val body = textOf(request.body)
    val parsed = readGeneration(body, shape)
    val service = headerText(request, SERVICE_HEADER) ?: parsed.model ?: throw badField(
        "model",
        "field model is missing, and so is header $SERVICE_HEADER; one of them has to name the service",
    )
    val content = RequestContent.Generation(
        path = shape.path,
        body = body,
        promptTokens = estimateTokens(parsed.promptParts),
        outputTokens = parsed.outputTokens,
        prefixDigest = prefixDigest(parsed.promptParts),
    )
    val answer = AnswerShape.Generation(shape, parsed.stream, parsed.model ?: service)
    return ParsedRequest(submission(request, ServiceName(service), content), answer)
}

private fun plain(request: ReceivedRequest): ParsedRequest {
    val rest = request.target.removePrefix(SERVICES_PREFIX)
    val name = rest.takeWhile { it != '/' && it != '?' }
    if (name.isEmpty()) {
        throw InputRejected(
            InputFault(STATUS_NOT_FOUND, "unknown-path", "the path names no service; allowed is $ALLOWED_PATHS", "path"),
        )
    }
    val remainder = rest.removePrefix(name).let { if (it.startsWith('/')) it else "/$it" }
    val body = textOf(request.body)
    val content = RequestContent.Plain(
        method = request.method,
        path = remainder,
        contentType = request.headers.get(HttpHeaderNames.CONTENT_TYPE),
        body = body,
        bodyDigest = digestOf(request.method, remainder, body),
    )
    return ParsedRequest(submission(request, ServiceName(name), content), AnswerShape.Plain)
}

private fun submission(request: ReceivedRequest, service: ServiceName, content: RequestContent) = Submission(
    service = service,
    requestClass = headerText(request, CLASS_HEADER)?.let { ClassName(it) },
    idempotencyKey = headerText(request, KEY_HEADER)?.let { IdempotencyKey(it) },
    content = content,
)

/** The header's value without the quotes of a structured field; null when the header is absent. */
private fun headerText(request: ReceivedRequest, name: String): String? {
    val value = request.headers.get(name) ?: return null
    val text = if (value.length >= 2 && value.startsWith('"')) value.removeSurrounding("\"") else value
    if (text.length !in 1..MAXIMUM_NAME_CHARACTERS || !text.all { it in visibleAscii }) {
        val allowed = "1 to $MAXIMUM_NAME_CHARACTERS visible ASCII characters"
        throw badField(name, "header $name is '$value', allowed are $allowed")
    }
    return text
}

private fun textOf(bytes: ByteArray): String = try {
    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString()
} catch (_: CharacterCodingException) {
    throw badField("body", "the body is not UTF-8 text, which alone is allowed")
}

private fun digestOf(method: String, path: String, body: String): String {
    val digest = MessageDigest.getInstance("SHA-256")
    listOf(method, path, body).forEach { part ->
        val bytes = part.toByteArray()
        digest.update("${bytes.size}:".toByteArray())
        digest.update(bytes)
    }
    return digest.digest().joinToString("") { "%02x".format(it) }
}

internal fun badField(field: String, detail: String): InputRejected =
    InputRejected(InputFault(STATUS_BAD_REQUEST, "invalid-request", detail, field))
