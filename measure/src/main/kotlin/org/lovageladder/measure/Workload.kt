package org.lovageladder.measure

import org.lovageladder.core.Address
import java.security.MessageDigest
import kotlin.time.Duration

/** What callers ask for. */
internal enum class RequestKind(val word: String) {
    GENERATION("generation"),
    LOOKUP("lookup"),
}

/** Where requests go: the callers' address of an entry, or an upstream that is called directly. */
internal data class Destination(val address: Address, val direct: Boolean)

/**
 * Requests of one run. Prompts have [promptTokens] words; answers [outputTokens] tokens. The first [warmUpRequests]
 * arrivals are run beforehand with other prompts and not counted.
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

private const val WORD = "abc"
private const val MARK_BYTES = 3

/** Prompt of the request at [index], different from all others. */
internal fun Workload.prompt(index: Int): String =
    (listOf("r$seed-$index") + List(promptTokens - 1) { WORD }).joinToString(" ")

/** Text of the token at [index] that a stand-in produces for [prompt]. */
internal fun expectedTokens(prompt: String, count: Int): List<String> {
    val mark = MessageDigest.getInstance("SHA-256")
        .digest(prompt.toByteArray())
        .take(MARK_BYTES)
        .joinToString("") { "%02x".format(it) }
    return List(count) { "w$it-$mark " }
}
