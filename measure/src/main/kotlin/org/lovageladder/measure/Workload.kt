package org.lovageladder.measure

import org.lovageladder.core.Address
import java.security.MessageDigest
import kotlin.time.Duration

/** Kind of the requests of a workload. */
internal enum class RequestKind(val label: String) {
    GENERATION("generation"),
    LOOKUP("lookup"),
}

/** Where requests are sent: the caller address of an entry, or with [isDirect] an upstream stand-in. */
internal data class Destination(val address: Address, val isDirect: Boolean)

/**
 * Requests of one run. Prompts have [promptTokens] words, answers [outputTokens] tokens. The first [warmUpRequests]
 * arrivals are first run with other prompts as a warm-up, which is not counted.
 */
internal data class Workload(
    val kind: RequestKind,
    val service: String,
    val requestClass: String?,
    val promptTokens: Int,
    val outputTokens: Int,
    val seed: Long,
    val arrivals: List<Duration>,
    val warmUpRequests: Int,
    val firstTokenTarget: Duration,
    val tokenGapTarget: Duration,
)

private const val FILLER_WORD = "abc"
private const val DIGEST_BYTES = 3

/** Prompt of the request at [index], different from all others. */
internal fun Workload.prompt(index: Int): String =
    (listOf("r$seed-$index") + List(promptTokens - 1) { FILLER_WORD }).joinToString(" ")

/** Texts of the first [count] tokens that a stand-in produces for [prompt]. */
internal fun expectedTokens(prompt: String, count: Int): List<String> {
    val digest = MessageDigest.getInstance("SHA-256")
        .digest(prompt.toByteArray())
        .take(DIGEST_BYTES)
        .joinToString("") { "%02x".format(it) }
    return List(count) { "w$it-$digest " }
}
