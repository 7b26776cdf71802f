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
private val FORWARDED_METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
private val VISIBLE_ASCII = '!'..'~'

/** Parses a caller's request; throws [InvalidRequestException] that names the invalid part. */
internal fun parseRequest(request: ReceivedRequest): ParsedRequest {
    val path = request.target.substringBefore('?')
    val api = GenerationApi.entries.find { it.path == path }
    return when {
        api != null -> parseGeneration(request, api)
        path.startsWith(SERVICES_PREFIX) && path.length > SERVICES_PREFIX.length -> parsePlain(request)
        else -> throw InvalidRequestException(
            RequestError(
                STATUS_NOT_FOUND,
                "unknown-path",
                "path '$path' is not served; allowed are $ALLOWED_PATHS",
                "path",
            ),
        )
    }
}

private const val ALLOWED_PATHS = "/v1/completions, /v1/chat/completions and /services/NAME/..."

private fun parseGeneration(request: ReceivedRequest, api: GenerationApi): ParsedRequest {
    if (request.method != "POST") {
        val detail = "method ${request.method} is not served at ${api.path}; allowed is POST"
        throw InvalidRequestException(RequestError(STATUS_METHOD_NOT_ALLOWED, "wrong-method", detail, "method"))
    }
    val body = decodeUtf8(request.body)
    val parsed = parseGenerationBody(body, api)
    val namedService = headerValue(request, SERVICE_HEADER)
    val service = namedService ?: parsed.model ?: throw invalidField(
        "model",
        "field model is missing, and so is header $SERVICE_HEADER; one of them must name the service",
    )
    val content = RequestContent.Generation(
        path = api.path,
        body = body,
        promptTokens = estimateTokens(parsed.promptParts),
        outputTokens = parsed.outputTokens,
        prefixDigest = prefixDigest(parsed.promptParts),
        model = parsed.model?.takeIf { namedService != null }?.let { ModelName(it) },
    )
    val format = AnswerFormat.Generation(api, parsed.stream, parsed.model ?: service)
    return ParsedRequest(buildSubmission(request, ServiceName(service), content), format)
}

private fun parsePlain(request: ReceivedRequest): ParsedRequest {
    if (request.method !in FORWARDED_METHODS) {
        val detail = "method ${request.method} is not passed on; allowed are ${FORWARDED_METHODS.joinToString()}"
        throw InvalidRequestException(RequestError(STATUS_METHOD_NOT_ALLOWED, "wrong-method", detail, "method"))
    }
    val serviceTarget = request.target.removePrefix(SERVICES_PREFIX)
    val name = serviceTarget.takeWhile { it != '/' && it != '?' }
    if (name.isEmpty()) {
        throw InvalidRequestException(
            RequestError(
                STATUS_NOT_FOUND,
                "unknown-path",
                "the path names no service; allowed are $ALLOWED_PATHS",
                "path",
            ),
        )
    }
    val upstreamPath = serviceTarget.removePrefix(name).let { if (it.startsWith('/')) it else "/$it" }
    val body = decodeUtf8(request.body)
    val content = RequestContent.Plain(
        method = request.method,
        path = upstreamPath,
        contentType = request.headers.get(HttpHeaderNames.CONTENT_TYPE),
        body = body,
        bodyDigest = digestOf(request.method, upstreamPath, body),
    )
    return ParsedRequest(buildSubmission(request, ServiceName(name), content), AnswerFormat.Plain)
}

private fun buildSubmission(request: ReceivedRequest, service: ServiceName, content: RequestContent) = Submission(
    service = service,
    requestClass = headerValue(request, REQUEST_CLASS_HEADER)?.let { ClassName(it) },
    idempotencyKey = headerValue(request, IDEMPOTENCY_KEY_HEADER)?.let { IdempotencyKey(it) },
    content = content,
)

/** Value of a header, without the quotes of a structured field string; null when the header is absent. */
private fun headerValue(request: ReceivedRequest, name: String): String? {
    val value = request.headers.get(name) ?: return null
    val text = if (value.length >= 2 && value.startsWith('"')) value.removeSurrounding("\"") else value
    if (text.length !in 1..MAXIMUM_NAME_CHARACTERS || !text.all { it in VISIBLE_ASCII }) {
        val allowed = "1 to $MAXIMUM_NAME_CHARACTERS visible ASCII characters"
        throw invalidField(name, "header $name is '$value', allowed are $allowed")
    }
    return text
}

private fun decodeUtf8(bytes: ByteArray): String = try {
    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString()
} catch (malformed: CharacterCodingException) {
    throw invalidField("body", "the body is not UTF-8 text", malformed)
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
