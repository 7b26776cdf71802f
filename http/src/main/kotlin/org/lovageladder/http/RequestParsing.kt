package org.lovageladder.http

import io.netty.handler.codec.http.HttpHeaderNames
import org.lovageladder.core.ClassName
import org.lovageladder.core.IdempotencyKey
import org.lovageladder.core.ModelName
import org.lovageladder.core.RequestContent
import org.lovageladder.core.ServiceName
import org.lovageladder.core.Submission
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.charset.StandardCharsets
import java.security.MessageDigest

private const val SERVICES_PREFIX = "/services/"
private const val MAXIMUM_NAME_CHARACTERS = 255
private val plainMethods = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
private val visibleAscii = '!'..'~'

/** Reads a caller's request; throws [InputRejected] naming what does not fit. */
internal fun parseRequest(request: ReceivedRequest): ParsedRequest {
    val path = request.target.substringBefore('?')
    val shape = GenerationShape.entries.find { it.path == path }
    return when {
        shape != null -> generation(request, shape)
        path.startsWith(SERVICES_PREFIX) && path.length > SERVICES_PREFIX.length -> plain(request)
        else -> throw InputRejected(
            InputFault(
                STATUS_NOT_FOUND,
                "unknown-path",
                "path '$path' is not served; allowed are $ALLOWED_PATHS",
                "path",
            ),
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
    val named = headerText(request, SERVICE_HEADER)
    val service = named ?: parsed.model ?: throw badField(
        "model",
        "field model is missing, and so is header $SERVICE_HEADER; one of them has to name the service",
    )
    val content = RequestContent.Generation(
        path = shape.path,
        body = body,
        promptTokens = estimateTokens(parsed.promptParts),
        outputTokens = parsed.outputTokens,
        prefixDigest = prefixDigest(parsed.promptParts),
        model = parsed.model?.takeIf { named != null }?.let { ModelName(it) },
    )
    val answer = AnswerShape.Generation(shape, parsed.stream, parsed.model ?: service)
    return ParsedRequest(submission(request, ServiceName(service), content), answer)
}

private fun plain(request: ReceivedRequest): ParsedRequest {
    if (request.method !in plainMethods) {
        val detail = "method ${request.method} is not passed on; allowed are ${plainMethods.joinToString()}"
        throw InputRejected(InputFault(STATUS_METHOD_NOT_ALLOWED, "wrong-method", detail, "method"))
    }
    val rest = request.target.removePrefix(SERVICES_PREFIX)
    val name = rest.takeWhile { it != '/' && it != '?' }
    if (name.isEmpty()) {
        throw InputRejected(
            InputFault(
                STATUS_NOT_FOUND,
                "unknown-path",
                "the path names no service; allowed is $ALLOWED_PATHS",
                "path",
            ),
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
} catch (malformed: CharacterCodingException) {
    throw badField("body", "the body is not UTF-8 text, which alone is allowed", malformed)
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
