package org.lovageladder.core.forward

/** What an upstream's answer says about the run of the request that it answers. */
internal sealed interface AnswerMeaning {
    /** The upstream did not run the request, and says so. */
    data object Declined : AnswerMeaning

    /** A success without the proof that the expected upstream produced it. It must not reach the caller. */
    data object Unproven : AnswerMeaning

    /** The request may have run, and failed. Unless the answer [mayReachCaller], it counts as lost for the caller. */
    data class Failed(val mayReachCaller: Boolean) : AnswerMeaning

    /** The request has run, and this is its result. */
    data object Result : AnswerMeaning
}

/**
 * Returns what an answer with [head] means for a request of this route.
 *
 * To the caller of a request that is not idempotent, some statuses promise that it has not run and never will. An
 * upstream says that in another way, by declining the request; its status alone says nothing about the run. Passed on,
 * such a status would be a promise that nobody made, and the caller would send the request once more.
 */
internal fun Route.meaningOf(head: AnswerHead): AnswerMeaning = when {
    head.isDeclined -> AnswerMeaning.Declined
    !head.isGenuine -> AnswerMeaning.Unproven
    head.status in NOT_RUN_STATUSES -> AnswerMeaning.Failed(mayReachCaller = isRetryable)
    head.status >= LOWEST_SERVER_ERROR_STATUS -> AnswerMeaning.Failed(mayReachCaller = true)
    else -> AnswerMeaning.Result
}

private const val LOWEST_SERVER_ERROR_STATUS = 500

/** Statuses with which this process refuses requests that have not run: timeout, misdirected, quota, unavailable. */
private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
