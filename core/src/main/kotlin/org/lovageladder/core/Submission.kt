package org.lovageladder.core

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** One request as a caller made it, parsed but not yet checked against the release. */
public data class Submission(
    val service: ServiceName,
    val requestClass: ClassName?,
    val idempotencyKey: IdempotencyKey?,
    val content: RequestContent,
)

/** Content of a request. */
@Serializable
public sealed interface RequestContent {
    /**
     * A generation. [body] is the caller's JSON request; [promptTokens] an estimate of its prompt's length;
     * [outputTokens] the caller's own bound, null when not given; [prefixDigest] a digest of the prompt's first
     * part, equal for prompts that can share cached prefixes. [model] replaces the body's `model` in calls of engines;
     * null keeps the body's.
     */
    @Serializable
    public data class Generation(
        val path: String,
        val body: String,
        val promptTokens: Int,
        val outputTokens: Int?,
        val prefixDigest: Long,
        val model: ModelName? = null,
    ) : RequestContent

    /**
     * A call of a plain service. [bodyDigest] identifies method, path and body, to compare submissions of the same key.
     */
    @Serializable
    public data class Plain(
        val method: String,
        val path: String,
        val contentType: String?,
        val body: String,
        val bodyDigest: String,
    ) : RequestContent
}

/** Answer of a plain service. */
@Serializable
public data class PlainAnswer(val status: Int, val contentType: String?, val body: String)

/** Whether a request ran, as far as the system knows. */
@Serializable
public enum class Execution {
    NOT_RUN,
    RAN,
    UNKNOWN,
}

/** Why a request was not served. */
@Serializable
public enum class RefusalReason {
    UNKNOWN_SERVICE,
    UNKNOWN_CLASS,
    WRONG_CONTENT,
    KEY_MISSING,
    KEY_REUSED,
    PROMPT_TOO_LARGE,
    OVERLOADED,
    NO_UPSTREAM,
    DEADLINE,
    STORE_UNAVAILABLE,
    UPSTREAM_FAILED,
    IN_PROGRESS,
    NOT_READY,
    LEAVING,
}

/** Final result of one submission. Each caller that stays connected gets exactly one. */
public sealed interface Outcome {
    /** All tokens were sent before. */
    public data class Generated(val finishReason: String, val promptTokens: Int, val outputTokens: Int) : Outcome

    /** A plain service's whole answer; [replayed] when it repeats the answer to an earlier submission of the key. */
    public data class Answered(val answer: PlainAnswer, val replayed: Boolean = false) : Outcome

    /**
     * The request is refused. [execution] says whether the action that the caller's key names ran, in this or an
     * earlier submission; [submissionRan] is false when this submission itself did not run.
     */
    public data class Refused(
        val reason: RefusalReason,
        val execution: Execution,
        val submissionRan: Boolean = execution != Execution.NOT_RUN,
        val retryAfter: Duration? = null,
        val fault: Fault? = null,
        val detail: String = "",
    ) : Outcome
}
