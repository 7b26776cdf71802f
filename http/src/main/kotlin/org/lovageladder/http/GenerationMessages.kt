package org.lovageladder.http

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.lovageladder.core.RequestId

/*
 * Answers to generations in the format of OpenAI's API. Null members are left out, except `finish_reason`.
 */

/** Format of the answer to a caller. */
internal sealed interface AnswerFormat {
    data class Generation(val api: GenerationApi, val stream: Boolean, val model: String) : AnswerFormat

    data object Plain : AnswerFormat
}

internal val generationJson: Json = Json { explicitNulls = true }

@Serializable
internal data class GenerationAnswer(
    val id: String,
    @SerialName("object") val objectName: String,
    val created: Long,
    val model: String,
    val choices: List<AnswerChoice>,
    val usage: AnswerUsage? = null,
    @SerialName("lovageladder_request") val request: RequestId? = null,
)

/** Exactly one of [text], [message] and [delta] is set. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class AnswerChoice(
    val text: String? = null,
    val message: AnswerMessage? = null,
    val delta: AnswerMessage? = null,
    @EncodeDefault val index: Int = 0,
    @EncodeDefault @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class AnswerMessage(val role: String? = null, val content: String? = null)

@Serializable
internal data class AnswerUsage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
)
