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

/** The OpenAI endpoints for generations, with the value of `object` in whole answers and in streamed chunks. */
internal enum class GenerationApi(val path: String, val answerObject: String, val chunkObject: String) {
    TEXT("/v1/completions", "text_completion", "text_completion"),
    CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk"),
}

/** Members of a caller's generation request that the router uses; the others are passed on unread. */
internal data class GenerationRequest(
    val model: String?,
    val promptParts: List<String>,
    val outputTokens: Int?,
    val stream: Boolean,
)

private const val CHARACTERS_PER_TOKEN = 4
private const val PREFIX_CHARACTERS = 1024
private const val MAXIMUM_DEPTH = 64
private val WHITESPACE = Regex("\\s+")

/** Parses a generation request; throws [InvalidRequestException] that names a missing or invalid member. */
internal fun parseGenerationBody(body: String, api: GenerationApi): GenerationRequest {
    val members = parseObjectBody(body)
    val parts = when (api) {
        GenerationApi.TEXT -> listOf(parsePrompt(members))
        GenerationApi.CHAT -> parseMessages(members)
    }
    if ((parseCount(members, "n") ?: 1) != 1) throw invalidValue("n", members.getValue("n"), "1")
    return GenerationRequest(
        model = parseModel(members),
        promptParts = parts,
        outputTokens = parseCount(members, "max_completion_tokens") ?: parseCount(members, "max_tokens"),
        stream = parseStream(members),
    )
}

/** Estimates the tokens of a prompt: per part the larger of a quarter of its characters and its words, summed. */
internal fun estimateTokens(parts: List<String>): Int =
    parts.sumOf { maxOf(it.length / CHARACTERS_PER_TOKEN, countWords(it)) }

/** First 64 bits of the SHA-256 digest of the first [PREFIX_CHARACTERS] characters of the prompt. */
internal fun prefixDigest(parts: List<String>): Long {
    val prefix = StringBuilder()
    for (part in parts) {
        if (prefix.length >= PREFIX_CHARACTERS) break
        prefix.append(part, 0, minOf(part.length, PREFIX_CHARACTERS)).append('\n')
    }
    val digest = MessageDigest.getInstance("SHA-256").digest(prefix.take(PREFIX_CHARACTERS).toString().toByteArray())
    return ByteBuffer.wrap(digest).getLong()
}

private fun countWords(text: String): Int = WHITESPACE.splitToSequence(text).count { it.isNotEmpty() }

private fun parseObjectBody(body: String): JsonObject {
    if (exceedsDepth(MAXIMUM_DEPTH, body)) {
        throw invalidField("body", "the body nests deeper than the allowed $MAXIMUM_DEPTH levels")
    }
    val element = parseJson(body)
    return element as? JsonObject
        ?: throw invalidField("body", "the body is ${describe(element)}, allowed is a JSON object")
}

private fun parseJson(body: String): JsonElement = try {
    Json.parseToJsonElement(body)
} catch (malformed: SerializationException) {
    throw invalidField("body", "the body is not JSON: ${malformed.message?.lineSequence()?.first()}", malformed)
}

/** Whether JSON text nests deeper than [limit]. Counts brackets, since a recursive parser could overflow its stack. */
private fun exceedsDepth(limit: Int, json: String): Boolean {
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

private fun parsePrompt(members: JsonObject): String {
    val prompt = nonNullMember(members, "prompt") ?: throw missingField("prompt", "a string")
    return stringOrNull(prompt) ?: throw invalidValue("prompt", prompt, "a string")
}

private fun parseMessages(members: JsonObject): List<String> {
    val messages = nonNullMember(members, "messages") ?: throw missingField("messages", "an array of messages")
    if (messages !is JsonArray || messages.isEmpty()) throw invalidValue("messages", messages, "an array of messages")
    return messages.mapIndexed { index, message -> parseMessage("messages[$index]", message) }
}

private fun parseMessage(field: String, message: JsonElement): String {
    if (message !is JsonObject) throw invalidValue(field, message, "an object with role and content")
    return requiredString(message, field, "role") + " " + requiredString(message, field, "content")
}

private fun requiredString(members: JsonObject, parent: String, name: String): String {
    val field = "$parent.$name"
    val element = nonNullMember(members, name) ?: throw missingField(field, "a string")
    return stringOrNull(element) ?: throw invalidValue(field, element, "a string")
}

private fun parseModel(members: JsonObject): String? {
    val model = nonNullMember(members, "model") ?: return null
    return stringOrNull(model) ?: throw invalidValue("model", model, "a string")
}

private fun parseStream(members: JsonObject): Boolean {
    val stream = nonNullMember(members, "stream") ?: return false
    val value = (stream as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
    return value ?: throw invalidValue("stream", stream, "true or false")
}

private fun parseCount(members: JsonObject, name: String): Int? {
    val element = nonNullMember(members, name) ?: return null
    val count = (element as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull
    if (count == null || count < 1) throw invalidValue(name, element, "a whole number of 1 or more")
    return count
}

private fun nonNullMember(members: JsonObject, name: String): JsonElement? = members[name]?.takeIf { it !is JsonNull }

private fun stringOrNull(element: JsonElement): String? = (element as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun missingField(field: String, allowed: String) =
    invalidField(field, "field $field is missing, allowed is $allowed")

private fun invalidValue(field: String, element: JsonElement, allowed: String) =
    invalidField(field, "field $field is ${describe(element)}, allowed is $allowed")

private fun describe(element: JsonElement): String = when (element) {
    is JsonObject -> "an object"
    is JsonArray -> "an array of ${element.size}"
    is JsonPrimitive -> if (element.isString) "a string" else element.content
}
