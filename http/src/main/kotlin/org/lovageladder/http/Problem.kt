package org.lovageladder.http

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.lovageladder.core.Execution
import org.lovageladder.core.Outcome
import org.lovageladder.core.RefusalReason
import org.lovageladder.core.RequestId
import org.lovageladder.core.Step
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Problem details as of RFC 9457. [outcome] says whether the caller's action ran, counting earlier submissions with the
 * same idempotency key; [submission] says whether this submission ran it. [field] names the invalid member or header.
 */
@Serializable
internal data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: ProblemOutcome,
    val submission: ProblemOutcome,
    val field: String? = null,
    val request: RequestId? = null,
    val step: Step? = null,
    val peer: String? = null,
    @SerialName("retry_after_ms") val retryAfterMilliseconds: Long? = null,
) {
    /** Value of the `Retry-After` header: seconds, rounded up. */
    val retryAfterSeconds: Long?
        get() = retryAfterMilliseconds?.let { ceilToSeconds(it.milliseconds) }

    fun toJson(): String = problemJson.encodeToString(this)
}

/** [Execution] as it is written to callers. */
@Serializable
internal enum class ProblemOutcome {
    @SerialName("not-run")
    NOT_RUN,

    @SerialName("ran")
    RAN,

    @SerialName("unknown")
    UNKNOWN,
}

private val problemJson = Json { explicitNulls = false }

private const val TYPE_PREFIX = "urn:lovageladder:problem:"

/**
 * Problem of a request that was not submitted. [mayHaveKey] is true when the request has an idempotency key or its
 * headers could not be read. Then an earlier submission may have run the action, so the outcome is unknown.
 */
internal fun problemOf(error: RequestError, mayHaveKey: Boolean): Problem = Problem(
    type = TYPE_PREFIX + error.typeName,
    title = error.typeName.replace('-', ' ').replaceFirstChar { it.uppercase() },
    status = error.status,
    detail = error.detail,
    outcome = if (mayHaveKey) ProblemOutcome.UNKNOWN else ProblemOutcome.NOT_RUN,
    submission = ProblemOutcome.NOT_RUN,
    field = error.field,
)

internal fun problemOf(request: RequestId, refused: Outcome.Refused): Problem = Problem(
    type = TYPE_PREFIX + refused.reason.name.lowercase().replace('_', '-'),
    title = titleOf(refused.reason),
    status = statusOf(refused.reason),
    detail = refused.detail.ifEmpty { refused.fault?.toString() ?: titleOf(refused.reason) },
    outcome = outcomeOf(refused.execution),
    submission = if (refused.submissionRan) outcomeOf(refused.execution) else ProblemOutcome.NOT_RUN,
    request = request,
    step = refused.fault?.step,
    peer = refused.fault?.peer,
    retryAfterMilliseconds = refused.retryAfter?.inWholeMilliseconds,
)

private fun outcomeOf(execution: Execution): ProblemOutcome = when (execution) {
    Execution.NOT_RUN -> ProblemOutcome.NOT_RUN
    Execution.RAN -> ProblemOutcome.RAN
    Execution.UNKNOWN -> ProblemOutcome.UNKNOWN
}

private fun ceilToSeconds(duration: Duration): Long {
    val whole = duration.inWholeSeconds
    return if (whole.seconds < duration) whole + 1 else whole
}

@Suppress("MagicNumber")
private fun statusOf(reason: RefusalReason): Int = when (reason) {
    RefusalReason.UNKNOWN_SERVICE -> 404
    RefusalReason.UNKNOWN_CLASS, RefusalReason.WRONG_CONTENT, RefusalReason.KEY_MISSING -> 400
    RefusalReason.KEY_REUSED -> 422
    RefusalReason.PROMPT_TOO_LARGE -> 413
    RefusalReason.OVERLOADED -> 429
    RefusalReason.NO_UPSTREAM,
    RefusalReason.STORE_UNAVAILABLE,
    RefusalReason.NOT_READY,
    RefusalReason.LEAVING,
    -> 503
    RefusalReason.DEADLINE -> 504
    RefusalReason.UPSTREAM_FAILED -> 502
    RefusalReason.IN_PROGRESS -> 409
}

private fun titleOf(reason: RefusalReason): String = when (reason) {
    RefusalReason.UNKNOWN_SERVICE -> "No such service"
    RefusalReason.UNKNOWN_CLASS -> "No such request class"
    RefusalReason.WRONG_CONTENT -> "The service does not take this kind of request"
    RefusalReason.KEY_MISSING -> "Idempotency-Key is missing"
    RefusalReason.KEY_REUSED -> "Idempotency-Key was used for another request"
    RefusalReason.PROMPT_TOO_LARGE -> "The prompt does not fit any upstream"
    RefusalReason.OVERLOADED -> "Overloaded"
    RefusalReason.NO_UPSTREAM -> "No upstream is available"
    RefusalReason.DEADLINE -> "No answer in time"
    RefusalReason.STORE_UNAVAILABLE -> "The claim store is not available"
    RefusalReason.UPSTREAM_FAILED -> "The upstream failed"
    RefusalReason.IN_PROGRESS -> "The same action is in progress"
    RefusalReason.NOT_READY -> "This entry is not ready"
    RefusalReason.LEAVING -> "This entry is leaving"
}
