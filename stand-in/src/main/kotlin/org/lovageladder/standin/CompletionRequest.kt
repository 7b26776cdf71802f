package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** A validated request for a completion or chat completion. */
internal data class CompletionRequest(
    val requestId: String,
    val api: CompletionApi,
    val model: String?,
    val prompt: String,
    val stream: Boolean,
    val maximumTokens: Int,
    val priority: Int,
    val resumeFrom: Int,
    val transfer: TransferParameters?,
) {
    val promptTokens: Int = wordsOf(prompt).count()

    /** Tokens whose keys and values must be computed before the next token: the prompt and any resumed output. */
    val prefillTokens: Int = promptTokens + resumeFrom

    private val promptDigest = digestPrefix(prompt)

    /** Text of the output token at [index]; depends only on the prompt and the index. */
    fun outputToken(index: Int): String = "w$index-$promptDigest "

    companion object {
        const val REQUEST_ID_HEADER: String = "X-Request-Id"
        private const val DIGEST_PREFIX_BYTES = 3
        private const val DEFAULT_MAXIMUM_TOKENS = 16

        /** Parses and validates a request; throws [RequestRefused] with status 400 naming the invalid field. */
        fun parse(request: HttpRequest, api: CompletionApi, requestId: String): CompletionRequest {
            val body = StandInJson.read<CompletionBody>(request.body)
            val maximumTokens = body.maximumCompletionTokens ?: body.maximumTokens ?: DEFAULT_MAXIMUM_TOKENS
            requireField(maximumTokens >= 1, "max_tokens", maximumTokens, "1 or more")
            checkResumeFrom(body, maximumTokens)
            return CompletionRequest(
                requestId = requestId,
                api = api,
                model = body.model,
                prompt = api.promptOf(body),
                stream = body.stream,
                maximumTokens = maximumTokens,
                priority = body.priority,
                resumeFrom = body.resumeFrom,
                transfer = body.transfer,
            )
        }

        /** A prefill-only call may resume from any index, because its `max_tokens` is always 1. */
        private fun checkResumeFrom(body: CompletionBody, maximumTokens: Int) {
            val prefillOnly = body.transfer?.remoteDecode == true
            val limit = if (prefillOnly) Int.MAX_VALUE else maximumTokens
            requireField(body.resumeFrom in 0 until limit, "resume_from", body.resumeFrom, "0 to below $limit")
        }

        private fun digestPrefix(prompt: String): String = MessageDigest
            .getInstance("SHA-256")
            .digest(prompt.toByteArray())
            .take(DIGEST_PREFIX_BYTES)
            .joinToString("") { "%02x".format(it) }
    }
}

/** The two published completion endpoints, with the `object` names of their answers. */
internal enum class CompletionApi(val path: String, val completeObjectName: String, val chunkObjectName: String) {
    TEXT("/v1/completions", "text_completion", "text_completion"),
    CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk"),
    ;

    fun promptOf(body: CompletionBody): String = when (this) {
        TEXT -> body.prompt ?: throw RequestRefused.invalidField("prompt", "field prompt is missing")
        CHAT ->
            body.messages?.joinToString("\n") { it.content }
                ?: throw RequestRefused.invalidField("messages", "field messages is missing")
    }

    companion object {
        fun forPath(path: String): CompletionApi? = entries.find { it.path == path }
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

/** vLLM's published `kv_transfer_params`, which tell a decode engine where to fetch a prefill result. */
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

/** Throws [RequestRefused] with status 400 unless [isValid]; [allowed] describes the accepted values. */
internal fun requireField(isValid: Boolean, field: String, value: Any?, allowed: String) {
    if (!isValid) {
        throw RequestRefused.invalidField(field, "field $field is '$value', allowed is $allowed")
    }
}

private val whitespace = Regex("\\s+")

/** The words of [prompt]; the stand-in counts each word as one token. */
internal fun wordsOf(prompt: String): Sequence<String> = prompt.splitToSequence(whitespace).filter { it.isNotEmpty() }
