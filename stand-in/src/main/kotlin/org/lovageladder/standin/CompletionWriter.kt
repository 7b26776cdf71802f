package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

/** Why a generation ended, in the words of the published interface. */
internal enum class FinishReason(val word: String) {
    LENGTH("length"),
    CANCELLED("cancelled"),
}

/** Writes one completion to its caller, as a stream of events or whole at the end. */
internal class CompletionAnswer(
    private val request: CompletionRequest,
    private val exchange: HttpExchange,
    private val model: String,
) {
    private val text = StringBuilder()
    private val createdSeconds = System.currentTimeMillis() / MILLISECONDS_PER_SECOND
    private var streaming = false

    fun token(index: Int) {
        val token = request.token(index)
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
                completionTokens = call.produced,
                totalTokens = request.promptTokens + call.produced,
                promptDetails = PromptDetails(call.cachedTokens),
            )
        if (request.stream) {
            sendChunk("", reason, usage, transfer)
            exchange.write("data: [DONE]\n\n")
            exchange.end()
        } else {
            exchange.answer(whole(reason, usage, transfer))
        }
    }

    /** Refuses the call while nothing was sent; a stream already begun is cut instead. */
    fun fail(refused: RequestRefused) {
        if (streaming) {
            exchange.drop()
        } else {
            exchange.refuse(refused)
        }
    }

    private fun sendChunk(token: String, reason: FinishReason?, usage: Usage?, transfer: TransferParameters?) {
        if (!streaming) {
            streaming = true
            exchange.startStream(HttpExchange.EVENT_STREAM_TYPE)
        }
        val chunk =
            when (request.shape) {
                CompletionShape.TEXT -> encode(TextChoice(token, reason?.word), usage, transfer, chunkName())
                CompletionShape.CHAT -> encode(ChatChunk(ChatDelta(token), reason?.word), usage, transfer, chunkName())
            }
        exchange.write("data: $chunk\n\n")
    }

    private fun whole(reason: FinishReason, usage: Usage, transfer: TransferParameters?): String =
        when (request.shape) {
            CompletionShape.TEXT ->
                encode(TextChoice(text.toString(), reason.word), usage, transfer, wholeName())
            CompletionShape.CHAT ->
                encode(
                    ChatChoice(ChatMessage("assistant", text.toString()), reason.word),
                    usage,
                    transfer,
                    wholeName(),
                )
        }

    private fun chunkName() = request.shape.chunkName

    private fun wholeName() = request.shape.wholeName

    private inline fun <reified Choice> encode(
        choice: Choice,
        usage: Usage?,
        transfer: TransferParameters?,
        objectName: String,
    ): String = StandInJson.answers.encodeToString(
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
