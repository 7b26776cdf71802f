package org.lovageladder.http

import org.lovageladder.core.AttemptId
import org.lovageladder.core.Execution
import org.lovageladder.core.UpstreamReport
import java.util.concurrent.ConcurrentHashMap

/**
 * Calls whose upstream may still hold something: those under way, and engine calls that broke off so that the engine
 * may still run them. A call is forgotten when it ends whole or its cancel is confirmed.
 */
internal class StartedCalls {
    private val calls = ConcurrentHashMap<AttemptId, StartedCall>()

    fun add(attempt: AttemptId, report: (UpstreamReport) -> Unit, isPlain: Boolean): StartedCall {
        val started = StartedCall(isPlain, report) { calls.remove(attempt) }
        calls[attempt] = started
        return started
    }

    fun find(attempt: AttemptId): StartedCall? = calls[attempt]
}

/** One call that was started, and how it ends. */
internal class StartedCall(
    val isPlain: Boolean,
    private val onReport: (UpstreamReport) -> Unit,
    private val forget: () -> Unit,
) {
    @Volatile
    var running: RunningHttpCall? = null

    @Volatile
    private var quiet = false

    /** Passes a report on; tokens are held back once the call is being cancelled. */
    fun report(report: UpstreamReport) {
        if (report is UpstreamReport.Token) {
            if (!quiet) onReport(report)
            return
        }
        if (isPlain || leavesNothing(report)) forget()
        onReport(report)
    }

    /** Stops passing tokens on. */
    fun quieten() {
        quiet = true
    }

    /** Closes the connection; nothing is reported afterwards. */
    fun cancel() {
        running?.abandon()
        forget()
    }

    /**
     * Whether the engine holds nothing for this call, given its answer to a cancel. An engine that did not know the
     * call may not have read its request yet, unless it has begun to answer it or the connection is gone.
     */
    fun isGone(cancelled: Boolean?): Boolean {
        val current = running
        val wasRead = current == null || current.isOver || current.answering
        val gone = cancelled == true || (cancelled == false && wasRead)
        if (gone) forget()
        return gone
    }

    private fun leavesNothing(report: UpstreamReport): Boolean =
        report !is UpstreamReport.Failed || report.execution != Execution.UNKNOWN
}
