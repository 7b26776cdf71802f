package org.lovageladder.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/*
 * Messages of the OpenAI-compatible interface of engines, with only the members that the router uses.
 */

internal val engineJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    coerceInputValues = true
}

@Serializable
internal data class EngineChunk(
    val choices: List<EngineChoice> = emptyList(),
    val usage: EngineUsage? = null,
    val error: EngineError? = null,
)

/** One choice of a streamed chunk: [text] is set in completions, [delta] in chat completions. */
@Serializable
internal data class EngineChoice(
    val text: String? = null,
    val delta: EngineDelta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
) {
    val content: String get() = text ?: delta?.content.orEmpty()

    /** Whether this chunk carries a token. The first chunk of a chat may hold only the role, the last one nothing. */
    val isToken: Boolean get() = content.isNotEmpty() || (finishReason == null && delta?.role == null)
}

@Serializable
internal data class EngineDelta(val role: String? = null, val content: String? = null)

@Serializable
internal data class EngineUsage(@SerialName("completion_tokens") val completionTokens: Int = 0)

/** Body of an error answer. Some engines put the members of `error` at the top level. */
@Serializable
internal data class EngineErrorAnswer(
    val error: EngineError? = null,
    val type: String? = null,
    val message: String? = null,
) {
    val errorType: String get() = error?.type ?: type.orEmpty()
}

@Serializable
internal data class EngineError(val message: String = "", val type: String = "")

@Serializable
internal data class PrefillAnswer(@SerialName("kv_transfer_params") val transfer: JsonObject? = null)

@Serializable
internal data class RunningAnswer(val running: List<RunningRequest>)

@Serializable
internal data class RunningRequest(@SerialName("request_id") val requestName: String)

@Serializable
internal data class CancelBody(@SerialName("request_id") val requestName: String)

@Serializable
internal data class CancelAnswer(val cancelled: Boolean)

@Serializable
internal data class LoadAdapterBody(
    @SerialName("lora_name") val name: String,
    @SerialName("lora_path") val path: String,
)

@Serializable
internal data class UnloadAdapterBody(@SerialName("lora_name") val name: String)

@Serializable
internal data class RoleBody(val role: String, val fencing: Long)
