package org.lovageladder.http

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.lovageladder.core.RequestContent
import org.lovageladder.core.UpstreamCall

/*
 * Bodies of engine calls: the caller's own request with the members that the router decides put in their place.
 */

/** Throws [IllegalArgumentException] when the caller's body or the ticket is not a JSON object. */
internal fun prefillBody(call: UpstreamCall.Prefill): String {
    val members = callerMembers(call.content)
    members["stream"] = JsonPrimitive(false)
    members["max_tokens"] = JsonPrimitive(1)
    members["priority"] = JsonPrimitive(call.priority)
    members[TRANSFER_MEMBER] = wantedTransfer
    return JsonObject(members).toString()
}

/** Throws [IllegalArgumentException] when the caller's body or the ticket is not a JSON object. */
internal fun decodeBody(call: UpstreamCall.Decode): String {
    val members = callerMembers(call.content)
    members["stream"] = JsonPrimitive(true)
    members["max_tokens"] = JsonPrimitive(call.outputBound)
    members["priority"] = JsonPrimitive(call.priority)
    if (call.fromIndex > 0) members["resume_from"] = JsonPrimitive(call.fromIndex)
    call.ticket?.let { members[TRANSFER_MEMBER] = parseObject(it.parametersJson) }
    return JsonObject(members).toString()
}

/** Reads [text] as a JSON object; throws [IllegalArgumentException] when it is not one. */
internal fun parseObject(text: String): JsonObject {
    val element = engineJson.parseToJsonElement(text)
    require(element is JsonObject) { "a JSON object is expected" }
    return element
}

internal const val TRANSFER_MEMBER: String = "kv_transfer_params"

private val decidedHere =
    setOf("stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "resume_from", TRANSFER_MEMBER)

private val wantedTransfer: JsonObject = buildJsonObject {
    put("do_remote_decode", true)
    put("do_remote_prefill", false)
    put("remote_engine_id", JsonNull)
    put("remote_block_ids", JsonNull)
    put("remote_host", JsonNull)
    put("remote_port", JsonNull)
}

private fun callerMembers(content: RequestContent.Generation): MutableMap<String, JsonElement> {
    val members = parseObject(content.body).filterKeys { it !in decidedHere }.toMutableMap()
    content.model?.let { members["model"] = JsonPrimitive(it.text) }
    return members
}
