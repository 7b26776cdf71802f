package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** A completion or chat completion as a caller asked for it, checked. */
internal data class CompletionRequest(
    val requestId: String,
    val shape: CompletionShape,
    val model: String?,
    val prompt: String,
    val stream: Boolean,
    val maximumTokens: Int,
    val priority: Int,
    val resumeFrom: Int,
    val transfer: TransferParameters?,
) {
    val promptTokens: Int = wordsOf(prompt).count()

    /** Tokens whose keys and values have to exist before the next token can be produced. */
    val prefillTokens: Int = promptTokens + resumeFrom

    private val promptMark = markOf(prompt)

    /** Text of the output token at [index], the same in each run of the same prompt. */
    fun token(index: Int): String = "w$index-$promptMark "

    companion object {
        const val REQUEST_ID_HEADER: String = "X-Request-Id"
        private const val MARK_BYTES = 3
        private const val DEFAULT_MAXIMUM_TOKENS = 16

        /** Reads a request; throws [RequestRefused] with status 400 naming the field that doesn't fit. */
        fun read(request: HttpRequest, shape: CompletionShape, requestId: String): CompletionRequest {
            val body = StandInJson.read<CompletionBody>(request.body)
            val maximumTokens = body.maximumCompletionTokens ?: body.maximumTokens ?: DEFAULT_MAXIMUM_TOKENS
            requireField(maximumTokens >= 1, "max_tokens", maximumTokens, "1 or more")
            checkResume(body, maximumTokens)
            return CompletionRequest(
                requestId = requestId,
                shape = shape,
                model = body.model,
                prompt = shape.promptOf(body),
                stream = body.stream,
                maximumTokens = maximumTokens,
                priority = body.priority,
                resumeFrom = body.resumeFrom,
                transfer = body.transfer,
            )
        }

        /** A prefill whose decode runs elsewhere may be for any index, as its `max_tokens` is always 1. */
        private fun checkResume(body: CompletionBody, maximumTokens: Int) {
            val onlyPrefill = body.transfer?.remoteDecode == true
            val bound = if (onlyPrefill) Int.MAX_VALUE else maximumTokens
            requireField(body.resumeFrom in 0 until bound, "resume_from", body.resumeFrom, "0 to below $bound")
        }

        private fun markOf(prompt: String): String = MessageDigest
            .getInstance("SHA-256")
            .digest(prompt.toByteArray())
            .take(MARK_BYTES)
            .joinToString("") { "%02x".format(it) }
    }
}

/** Which of the two published completion interfaces a call came by. */
internal enum class CompletionShape(val path: String, val wholeName: String, val chunkName: String) {
    TEXT("/v1/completions", "text_completion", "text_completion"),
    CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk"),
    ;

    fun promptOf(body: CompletionBody): String = when (this) {
        TEXT -> body.prompt ?: throw RequestRefused.badField("prompt", "field prompt is missing")
        CHAT ->
            body.messages?.joinToString("\n") { it.content }
                ?: throw RequestRefused.badField("messages", "field messages is missing")
    }

    companion object {
        fun at(path: String): CompletionShape? = entries.find { it.path == path }
    }
}

@Serializable
internal data class CompletionBody(
    val model: String? = null,
    val prompt: String? = null,
    val messages: List<ChatMessage>? = null,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int? = null,
    @SerialName("max_completion_tokens") val maximumCompletionTokens: Int? = null,
    val priority: Int = 0,
    @SerialName("resume_from") val resumeFrom: Int = 0,
    @SerialName("kv_transfer_params") val transfer: TransferParameters? = null,
)

@Serializable
internal data class ChatMessage(val role: String, val content: String)

/** The published parameters by which a prefill's result is passed on to a decode engine. */
@Serializable
internal data class TransferParameters(
    @SerialName("do_remote_decode") val remoteDecode: Boolean = false,
    @SerialName("do_remote_prefill") val remotePrefill: Boolean = false,
    @SerialName("remote_engine_id") val engineId: String? = null,
    @SerialName("remote_block_ids") val blockIds: List<Int>? = null,
    @SerialName("remote_host") val host: String? = null,
    @SerialName("remote_port") val port: Int? = null,
    @SerialName("remote_request_id") val requestId: String? = null,
)

/** Throws [RequestRefused] with status 400 when a field's [value] is not [allowed]. */
internal fun requireField(holds: Boolean, field: String, value: Any?, allowed: String) {
    if (!holds) {
        throw RequestRefused.badField(field, "field $field is '$value', allowed is $allowed")
    }
}

private val whitespace = Regex("\\s+")

/** The words of [prompt], each of which counts as one token. */
internal fun wordsOf(prompt: String): Sequence<String> = prompt.splitToSequence(whitespace).filter { it.isNotEmpty() }
