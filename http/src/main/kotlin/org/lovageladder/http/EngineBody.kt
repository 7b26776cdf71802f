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
 * Bodies of engine calls: the caller's JSON request with the members that the router sets itself replaced.
 */

/** Body of a prefill; throws [IllegalArgumentException] when the caller's body is not a JSON object. */
internal fun prefillBody(call: UpstreamCall.Prefill): String {
    val members = passedOnMembers(call.content)
    members["stream"] = JsonPrimitive(false)
    members["max_tokens"] = JsonPrimitive(1)
    members["priority"] = JsonPrimitive(call.priority)
    members[TRANSFER_MEMBER] = transferRequest
    return JsonObject(members).toString()
}

/** Body of a decode; throws [IllegalArgumentException] when the caller's body or the ticket is not a JSON object. */
internal fun decodeBody(call: UpstreamCall.Decode): String {
    val members = passedOnMembers(call.content)
    members["stream"] = JsonPrimitive(true)
    members["max_tokens"] = JsonPrimitive(call.outputBound)
    members["priority"] = JsonPrimitive(call.priority)
    if (call.fromIndex > 0) members["resume_from"] = JsonPrimitive(call.fromIndex)
    call.ticket?.let { members[TRANSFER_MEMBER] = parseObject(it.parametersJson) }
    return JsonObject(members).toString()
}

/** Parses [text] as a JSON object; throws [IllegalArgumentException] when it is not one. */
internal fun parseObject(text: String): JsonObject {
    val element = engineJson.parseToJsonElement(text)
    require(element is JsonObject) { "expected a JSON object" }
    return element
}

internal const val TRANSFER_MEMBER: String = "kv_transfer_params"

private val routerMembers =
    setOf("stream", "stream_options", "max_tokens", "max_completion_tokens", "priority", "resume_from", TRANSFER_MEMBER)

private val transferRequest: JsonObject = buildJsonObject {
    put("do_remote_decode", true)
    put("do_remote_prefill", false)
    put("remote_engine_id", JsonNull)
    put("remote_block_ids", JsonNull)
    put("remote_host", JsonNull)
    put("remote_port", JsonNull)
}

private fun passedOnMembers(content: RequestContent.Generation): MutableMap<String, JsonElement> {
    val members = parseObject(content.body).filterKeys { it !in routerMembers }.toMutableMap()
    content.model?.let { members["model"] = JsonPrimitive(it.text) }
    return members
}
