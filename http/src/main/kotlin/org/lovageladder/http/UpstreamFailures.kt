package org.lovageladder.http

import org.lovageladder.core.Execution
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Step
import org.lovageladder.core.UpstreamReport

/*
 * Maps failed calls to failure reports. NOT_RUN is reported only when the upstream certainly did not start the call.
 */

internal const val NOT_EXECUTED_HEADER: String = "X-Not-Executed"

private val CLIENT_ERROR_STATUSES = 400..499
private const val OUT_OF_MEMORY_TYPE = "out_of_memory"
private const val FENCED_TYPE = "outdated_fencing_number"
private const val MAXIMUM_DETAIL_CHARACTERS = 300

/** Report of a call that got no complete answer. */
internal fun callFailure(step: Step, peer: String, failure: HttpFailure): UpstreamReport.Failed {
    val execution = if (failure.requestSent) Execution.UNKNOWN else Execution.NOT_RUN
    return UpstreamReport.Failed(Fault(step, peer, failure.cause, failure.detail), execution)
}

/** Report of an engine's answer with a status other than 200. */
internal fun engineFailure(step: Step, peer: String, answer: HttpAnswer): UpstreamReport.Failed {
    val notRun = answer.status == STATUS_UNAVAILABLE || answer.status in CLIENT_ERROR_STATUSES
    val execution = if (notRun) Execution.NOT_RUN else Execution.UNKNOWN
    return UpstreamReport.Failed(Fault(step, peer, engineCause(answer), failureDetail(answer)), execution)
}

/** Report of a plain service's answer that shows a failure of the service; null for an answer to pass to the caller. */
internal fun serviceFailure(peer: String, answer: HttpAnswer): UpstreamReport.Failed? {
    val notExecuted = answer.headers.get(NOT_EXECUTED_HEADER).equals("true", ignoreCase = true)
    val fenced = isFenced(answer)
    val failed = answer.status in setOf(STATUS_BAD_GATEWAY, STATUS_UNAVAILABLE, STATUS_GATEWAY_TIMEOUT)
    if (!failed && !fenced) return null
    val notRun = fenced || (answer.status == STATUS_UNAVAILABLE && notExecuted)
    val cause = if (fenced) FaultCause.FENCED else FaultCause.REJECTED
    val execution = if (notRun) Execution.NOT_RUN else Execution.UNKNOWN
    return UpstreamReport.Failed(Fault(Step.PLAIN_CALL, peer, cause, failureDetail(answer)), execution)
}

/** Whether the upstream refused the call because of an outdated fencing number. */
internal fun isFenced(answer: HttpAnswer): Boolean =
    answer.status == STATUS_CONFLICT && parseError(answer)?.errorType == FENCED_TYPE

internal fun failureDetail(answer: HttpAnswer): String {
    val errorAnswer = parseError(answer)
    val message = errorAnswer?.error?.message ?: errorAnswer?.message ?: answer.body
    return "status ${answer.status}: ${message.take(MAXIMUM_DETAIL_CHARACTERS)}"
}

private fun engineCause(answer: HttpAnswer): FaultCause {
    val type = parseError(answer)?.errorType
    return when {
        type == OUT_OF_MEMORY_TYPE -> FaultCause.OUT_OF_MEMORY
        type == FENCED_TYPE -> FaultCause.FENCED
        answer.status == STATUS_GONE -> FaultCause.EXPIRED
        answer.status == STATUS_UNAVAILABLE || answer.status in CLIENT_ERROR_STATUSES -> FaultCause.REJECTED
        else -> FaultCause.CRASHED
    }
}

private fun parseError(answer: HttpAnswer): EngineErrorAnswer? = try {
    engineJson.decodeFromString<EngineErrorAnswer>(answer.body)
} catch (_: IllegalArgumentException) {
    null
}
