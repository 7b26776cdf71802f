package org.lovageladder.http

import org.lovageladder.core.AttemptId
import org.lovageladder.core.Execution
import org.lovageladder.core.UpstreamReport
import java.util.Collections
import java.util.concurrent.ConcurrentHashMap

/**
 * Calls whose upstream may still hold something: those under way, and engine calls that broke off so that the engine
 * may still run them. A call is forgotten when it ends whole or its cancel is confirmed; of those broken off, only
 * the last [BROKEN_LIMIT] are kept.
 */
internal class StartedCalls {
    private val running = ConcurrentHashMap<AttemptId, StartedCall>()
    private val broken = Collections.synchronizedMap(BoundedCalls())

    fun add(attempt: AttemptId, report: (UpstreamReport) -> Unit, isPlain: Boolean): StartedCall {
        val started = StartedCall(attempt, isPlain, report, calls = this)
        running[attempt] = started
        return started
    }

    fun find(attempt: AttemptId): StartedCall? = running[attempt] ?: broken[attempt]

    /** Keeps a call that the upstream may still run. */
    fun breakOff(call: StartedCall) {
        broken[call.attempt] = call
        running.remove(call.attempt)
    }

    fun forget(call: StartedCall) {
        running.remove(call.attempt)
        broken.remove(call.attempt)
    }

    private class BoundedCalls : LinkedHashMap<AttemptId, StartedCall>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<AttemptId, StartedCall>): Boolean =
            size > BROKEN_LIMIT
    }

    private companion object {
        const val BROKEN_LIMIT = 4096
    }
}

/** One call that was started, and how it ends. */
internal class StartedCall(
    val attempt: AttemptId,
    val isPlain: Boolean,
    private val onReport: (UpstreamReport) -> Unit,
    private val calls: StartedCalls,
) {
    @Volatile
    var running: RunningHttpCall? = null

    @Volatile
    private var quiet = false

    /**
     * Passes a report on; tokens are held back once the call is being cancelled. A last report that comes before the
     * answer's end, as of a broken stream, closes the connection.
     */
    fun report(report: UpstreamReport) {
        if (report is UpstreamReport.Token) {
            if (!quiet) onReport(report)
            return
        }
        running?.takeIf { !it.isOver }?.abandon()
        if (!isPlain && mayStillRun(report)) calls.breakOff(this) else calls.forget(this)
        onReport(report)
    }

    /** Stops passing tokens on. */
    fun quieten() {
        quiet = true
    }

    /** Closes the connection; nothing is reported afterwards. */
    fun abandon() {
        running?.abandon()
        calls.forget(this)
    }

    /**
     * Whether the engine holds nothing for this call, given its answer to a cancel. An engine that did not know the
     * call may not have read its request yet, unless it has begun to answer it or the connection is gone.
     */
    fun isGone(cancelled: Boolean?): Boolean {
        val current = running
        val wasRead = current != null && (current.isOver || current.answering)
        val gone = cancelled == true || (cancelled == false && wasRead)
        if (gone) calls.forget(this)
        return gone
    }

    private fun mayStillRun(report: UpstreamReport): Boolean =
        report is UpstreamReport.Failed && report.execution == Execution.UNKNOWN
}
