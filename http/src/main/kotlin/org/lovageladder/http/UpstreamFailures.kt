package org.lovageladder.http

import org.lovageladder.core.Execution
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Step
import org.lovageladder.core.UpstreamReport

/*
 * What a failed call says about whether it ran. NOT_RUN is said only where the upstream certainly did not start it.
 */

internal const val NOT_EXECUTED_HEADER: String = "X-Not-Executed"

private val REJECTING_STATUSES = 400..499
private const val OUT_OF_MEMORY_TYPE = "out_of_memory"
private const val FENCED_TYPE = "outdated_fencing_number"
private const val MAXIMUM_DETAIL_CHARACTERS = 300

/** A call that got no whole answer. */
internal fun lostCall(step: Step, peer: String, failure: HttpFailure): UpstreamReport.Failed {
    val execution = if (failure.sent) Execution.UNKNOWN else Execution.NOT_RUN
    return UpstreamReport.Failed(Fault(step, peer, failure.cause, failure.detail), execution)
}

/** An engine's answer other than success. */
internal fun refusedByEngine(step: Step, peer: String, answer: HttpAnswer): UpstreamReport.Failed {
    val notRun = answer.status == STATUS_UNAVAILABLE || answer.status in REJECTING_STATUSES
    val execution = if (notRun) Execution.NOT_RUN else Execution.UNKNOWN
    return UpstreamReport.Failed(Fault(step, peer, engineCause(answer), detailOf(answer)), execution)
}

/** A plain service's answer when it is a failure of the service itself; null when it is an answer to the caller. */
internal fun refusedByService(peer: String, answer: HttpAnswer): UpstreamReport.Failed? {
    val notExecuted = answer.headers.get(NOT_EXECUTED_HEADER).equals("true", ignoreCase = true)
    val fenced = isFenced(answer)
    val failed = answer.status in setOf(STATUS_BAD_GATEWAY, STATUS_UNAVAILABLE, STATUS_GATEWAY_TIMEOUT)
    if (!failed && !fenced) return null
    val notRun = fenced || (answer.status == STATUS_UNAVAILABLE && notExecuted)
    val cause = if (fenced) FaultCause.FENCED else FaultCause.REJECTED
    val execution = if (notRun) Execution.NOT_RUN else Execution.UNKNOWN
    return UpstreamReport.Failed(Fault(Step.PLAIN_CALL, peer, cause, detailOf(answer)), execution)
}

/** Whether the upstream refused an outdated fencing number. */
internal fun isFenced(answer: HttpAnswer): Boolean =
    answer.status == STATUS_CONFLICT && refusalIn(answer)?.errorType == FENCED_TYPE

internal fun detailOf(answer: HttpAnswer): String {
    val refusal = refusalIn(answer)
    val message = refusal?.error?.message ?: refusal?.message ?: answer.body
    return "status ${answer.status}: ${message.take(MAXIMUM_DETAIL_CHARACTERS)}"
}

private fun engineCause(answer: HttpAnswer): FaultCause {
    val type = refusalIn(answer)?.errorType
    return when {
        type == OUT_OF_MEMORY_TYPE -> FaultCause.OUT_OF_MEMORY
        type == FENCED_TYPE -> FaultCause.FENCED
        answer.status == STATUS_GONE -> FaultCause.EXPIRED
        answer.status == STATUS_UNAVAILABLE || answer.status in REJECTING_STATUSES -> FaultCause.REJECTED
        else -> FaultCause.CRASHED
    }
}

private fun refusalIn(answer: HttpAnswer): EngineRefusal? = try {
    engineJson.decodeFromString<EngineRefusal>(answer.body)
} catch (_: IllegalArgumentException) {
    null
}
