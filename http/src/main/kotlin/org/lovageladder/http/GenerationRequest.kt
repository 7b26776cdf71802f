package org.lovageladder.http

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Which of the two published generation interfaces a request came by. */
internal enum class GenerationShape(val path: String, val wholeName: String, val chunkName: String) {
    TEXT("/v1/completions", "text_completion", "text_completion"),
    CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk"),
}

/** What is read of a caller's generation request; the rest is passed on as it came. */
internal data class GenerationRequest(
    val model: String?,
    val promptParts: List<String>,
    val outputTokens: Int?,
    val stream: Boolean,
)

private const val CHARACTERS_PER_TOKEN = 4
private const val PREFIX_CHARACTERS = 1024
private const val MAXIMUM_NESTING = 64
private val whitespace = Regex("\\s+")

/** Throws [InputRejected] naming the member that is missing or has the wrong type. */
internal fun readGeneration(body: String, shape: GenerationShape): GenerationRequest {
    val members = membersOf(body)
    val parts = when (shape) {
        GenerationShape.TEXT -> listOf(promptIn(members))
        GenerationShape.CHAT -> messagesIn(members)
    }
    if ((countIn(members, "n") ?: 1) != 1) throw mistyped("n", members.getValue("n"), "1")
    return GenerationRequest(
        model = modelIn(members),
        promptParts = parts,
        outputTokens = countIn(members, "max_completion_tokens") ?: countIn(members, "max_tokens"),
        stream = streamIn(members),
    )
}

/** Estimate of the tokens in a prompt: a quarter of its characters, at least its words, summed over [parts]. */
internal fun estimateTokens(parts: List<String>): Int =
    parts.sumOf { maxOf(it.length / CHARACTERS_PER_TOKEN, wordsIn(it)) }

/** First 64 bits of the SHA-256 digest of the prompt's first characters. */
internal fun prefixDigest(parts: List<String>): Long {
    val prefix = StringBuilder()
    for (part in parts) {
        if (prefix.length >= PREFIX_CHARACTERS) break
        prefix.append(part, 0, minOf(part.length, PREFIX_CHARACTERS)).append('\n')
    }
    val digest = MessageDigest.getInstance("SHA-256").digest(prefix.take(PREFIX_CHARACTERS).toString().toByteArray())
    return ByteBuffer.wrap(digest).getLong()
}

private fun wordsIn(text: String): Int = whitespace.splitToSequence(text).count { it.isNotEmpty() }

private fun membersOf(body: String): JsonObject {
    if (nestsDeeperThan(MAXIMUM_NESTING, body)) {
        throw badField("body", "the body nests deeper than $MAXIMUM_NESTING levels, which is the most allowed")
    }
    val element = parse(body)
    return element as? JsonObject ?: throw badField("body", "the body is ${kindOf(element)}, allowed is a JSON object")
}

private fun parse(body: String): JsonElement = try {
    Json.parseToJsonElement(body)
} catch (malformed: SerializationException) {
    throw badField("body", "the body is not JSON: ${malformed.message?.lineSequence()?.first()}", malformed)
}

/** Whether JSON text nests deeper than [limit], counted without a parser that the nesting could overthrow. */
private fun nestsDeeperThan(limit: Int, json: String): Boolean {
    var depth = 0
    var inString = false
    var escaped = false
    for (character in json) {
        when {
            escaped -> escaped = false
            inString && character == '\\' -> escaped = true
            character == '"' -> inString = !inString
            inString -> continue
            character == '{' || character == '[' -> if (++depth > limit) return true
            character == '}' || character == ']' -> depth--
        }
    }
    return false
}

private fun promptIn(members: JsonObject): String {
    val prompt = present(members, "prompt") ?: throw missing("prompt", "a string")
    return textOf(prompt) ?: throw mistyped("prompt", prompt, "a string")
}

private fun messagesIn(members: JsonObject): List<String> {
    val messages = present(members, "messages") ?: throw missing("messages", "an array of messages")
    if (messages !is JsonArray || messages.isEmpty()) throw mistyped("messages", messages, "an array of messages")
    return messages.mapIndexed { index, message -> messageText("messages[$index]", message) }
}

private fun messageText(field: String, message: JsonElement): String {
    if (message !is JsonObject) throw mistyped(field, message, "an object with role and content")
    return requiredText(message, field, "role") + " " + requiredText(message, field, "content")
}

private fun requiredText(members: JsonObject, parent: String, name: String): String {
    val field = "$parent.$name"
    val element = present(members, name) ?: throw missing(field, "a string")
    return textOf(element) ?: throw mistyped(field, element, "a string")
}

private fun modelIn(members: JsonObject): String? {
    val model = present(members, "model") ?: return null
    return textOf(model) ?: throw mistyped("model", model, "a string")
}

private fun streamIn(members: JsonObject): Boolean {
    val stream = present(members, "stream") ?: return false
    val value = (stream as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
    return value ?: throw mistyped("stream", stream, "true or false")
}

private fun countIn(members: JsonObject, name: String): Int? {
    val element = present(members, name) ?: return null
    val count = (element as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull
    if (count == null || count < 1) throw mistyped(name, element, "a whole number of 1 or more")
    return count
}

private fun present(members: JsonObject, name: String): JsonElement? = members[name]?.takeIf { it !is JsonNull }

private fun textOf(element: JsonElement): String? = (element as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun missing(field: String, allowed: String) = badField(field, "field $field is missing, allowed is $allowed")

private fun mistyped(field: String, element: JsonElement, allowed: String) =
    badField(field, "field $field is ${kindOf(element)}, allowed is $allowed")

private fun kindOf(element: JsonElement): String = when (element) {
    is JsonObject -> "an object"
    is JsonArray -> "an array of ${element.size}"
    is JsonPrimitive -> if (element.isString) "a string" else element.content
}
