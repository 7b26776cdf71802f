package org.lovageladder.http

import org.lovageladder.core.AttemptId
import org.lovageladder.core.Execution
import org.lovageladder.core.UpstreamReport
import java.util.Collections
import java.util.concurrent.ConcurrentHashMap

/**
 * Calls that an upstream may still hold resources for: running calls, and failed engine calls that the engine may still
 * run. A call is removed when its end is known or its cancel is confirmed. Of the failed calls only the last
 * [MAXIMUM_UNCONFIRMED] are kept.
 */
internal class StartedCalls {
    private val running = ConcurrentHashMap<AttemptId, StartedCall>()
    private val unconfirmed = Collections.synchronizedMap(BoundedCallMap())

    fun add(attempt: AttemptId, report: (UpstreamReport) -> Unit, isPlain: Boolean): StartedCall {
        val started = StartedCall(attempt, isPlain, report, calls = this)
        running[attempt] = started
        return started
    }

    fun find(attempt: AttemptId): StartedCall? = running[attempt] ?: unconfirmed[attempt]

    /** Keeps a failed call that the upstream may still run. */
    fun keepUnconfirmed(call: StartedCall) {
        unconfirmed[call.attempt] = call
        running.remove(call.attempt)
    }

    fun remove(call: StartedCall) {
        running.remove(call.attempt)
        unconfirmed.remove(call.attempt)
    }

    private class BoundedCallMap : LinkedHashMap<AttemptId, StartedCall>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<AttemptId, StartedCall>): Boolean =
            size > MAXIMUM_UNCONFIRMED
    }

    private companion object {
        const val MAXIMUM_UNCONFIRMED = 4096
    }
}

/** One call to an upstream. Passes its reports on and keeps track of whether the upstream may still run it. */
internal class StartedCall(
    val attempt: AttemptId,
    val isPlain: Boolean,
    private val onReport: (UpstreamReport) -> Unit,
    private val calls: StartedCalls,
) {
    @Volatile
    var httpCall: RunningHttpCall? = null

    @Volatile
    private var tokensSuppressed = false

    /**
     * Passes a report on; tokens are dropped once the call is being cancelled. A final report before the end of the
     * answer, as for an invalid stream, closes the connection.
     */
    fun report(report: UpstreamReport) {
        if (report is UpstreamReport.Token) {
            if (!tokensSuppressed) onReport(report)
            return
        }
        httpCall?.cancel()
        if (!isPlain && mayStillRun(report)) calls.keepUnconfirmed(this) else calls.remove(this)
        onReport(report)
    }

    /** Drops further tokens. */
    fun suppressTokens() {
        tokensSuppressed = true
    }

    /** Closes the connection; nothing is reported afterwards. */
    fun disconnect() {
        httpCall?.cancel()
        calls.remove(this)
    }

    /**
     * Whether the engine no longer holds resources for this call, given its answer to a cancel; removes the call if so.
     * An engine that did not know the call may not have read its request yet, unless it has started to answer or the
     * connection is closed.
     */
    fun confirmCancel(cancelled: Boolean?): Boolean {
        val current = httpCall
        val requestRead = current != null && (current.isEnded || current.answerStarted)
        val confirmed = cancelled == true || (cancelled == false && requestRead)
        if (confirmed) calls.remove(this)
        return confirmed
    }

    private fun mayStillRun(report: UpstreamReport): Boolean =
        report is UpstreamReport.Failed && report.execution == Execution.UNKNOWN
}
