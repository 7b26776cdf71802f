package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

/** Why a generation ended; [wireName] is the published `finish_reason`. */
internal enum class FinishReason(val wireName: String) {
    LENGTH("length"),
    CANCELLED("cancelled"),
}

/** Writes one completion to its caller, either as server-sent events or as one JSON body at the end. */
internal class CompletionWriter(
    private val request: CompletionRequest,
    private val exchange: HttpExchange,
    private val model: String,
) {
    private val text = StringBuilder()
    private val createdSeconds = System.currentTimeMillis() / MILLISECONDS_PER_SECOND
    private var streamStarted = false

    fun writeToken(index: Int) {
        val token = request.outputToken(index)
        if (request.stream) {
            sendChunk(token, null, null, null)
        } else {
            text.append(token)
        }
    }

    fun finish(reason: FinishReason, call: EngineCall, transfer: TransferParameters? = null) {
        val usage =
            Usage(
                promptTokens = request.promptTokens,
                completionTokens = call.producedTokens,
                totalTokens = request.promptTokens + call.producedTokens,
                promptDetails = PromptDetails(call.cachedTokens),
            )
        if (request.stream) {
            sendChunk("", reason, usage, transfer)
            exchange.write("data: [DONE]\n\n")
            exchange.end()
        } else {
            exchange.answer(completeBody(reason, usage, transfer))
        }
    }

    /** Answers with an error if nothing has been sent yet; otherwise aborts the stream. */
    fun fail(refused: RequestRefused) {
        if (streamStarted) {
            exchange.abort()
        } else {
            exchange.refuse(refused)
        }
    }

    private fun sendChunk(token: String, reason: FinishReason?, usage: Usage?, transfer: TransferParameters?) {
        if (!streamStarted) {
            streamStarted = true
            exchange.startStream(HttpExchange.EVENT_STREAM_TYPE)
        }
        val chunk =
            when (request.api) {
                CompletionApi.TEXT -> encode(TextChoice(token, reason?.wireName), usage, transfer, chunkName())
                CompletionApi.CHAT ->
                    encode(ChatChunk(ChatDelta(token), reason?.wireName), usage, transfer, chunkName())
            }
        exchange.write("data: $chunk\n\n")
    }

    private fun completeBody(reason: FinishReason, usage: Usage, transfer: TransferParameters?): String =
        when (request.api) {
            CompletionApi.TEXT ->
                encode(TextChoice(text.toString(), reason.wireName), usage, transfer, completeName())
            CompletionApi.CHAT ->
                encode(
                    ChatChoice(ChatMessage("assistant", text.toString()), reason.wireName),
                    usage,
                    transfer,
                    completeName(),
                )
        }

    private fun chunkName() = request.api.chunkObjectName

    private fun completeName() = request.api.completeObjectName

    private inline fun <reified Choice> encode(
        choice: Choice,
        usage: Usage?,
        transfer: TransferParameters?,
        objectName: String,
    ): String = StandInJson.lenient.encodeToString(
        Completion(request.requestId, objectName, createdSeconds, model, listOf(choice), usage, transfer),
    )

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000
    }
}

@Serializable
private data class Completion<Choice>(
    val id: String,
    @SerialName("object") val objectName: String,
    val created: Long,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage?,
    @SerialName("kv_transfer_params") val transfer: TransferParameters?,
)

@Serializable
private data class TextChoice(
    val text: String,
    @SerialName("finish_reason") val finishReason: String?,
    val index: Int = 0,
)

@Serializable
private data class ChatChoice(
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String?,
    val index: Int = 0,
)

@Serializable
private data class ChatChunk(
    val delta: ChatDelta,
    @SerialName("finish_reason") val finishReason: String?,
    val index: Int = 0,
)

@Serializable
private data class ChatDelta(val content: String)

@Serializable
private data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
    @SerialName("prompt_tokens_details") val promptDetails: PromptDetails,
)

@Serializable
private data class PromptDetails(@SerialName("cached_tokens") val cachedTokens: Int)
