package org.lovageladder.core

import kotlin.time.Duration

/** Queue, reservations and running calls of one upstream on a companion's host. */
internal sealed interface UpstreamScheduler {
    /** Entry of the upstream in the release in force. */
    var upstream: ReleaseEntry.Upstream
    val load: UpstreamLoad

    /** Whether nothing waits, is reserved or runs. */
    val isIdle: Boolean
    val reservationCount: Int
    val runningCallCount: Int

    /** Cancels [attempt] and frees what it holds; nothing more is sent about it. */
    fun cancel(attempt: AttemptId, ending: AttemptEnding)

    fun onReport(attempt: AttemptId, report: UpstreamReport)

    fun onCancelEnded(attempt: AttemptId, confirmed: Boolean)

    /** Refuses all waiting attempts. Granted and started ones continue. */
    fun refuseWaiting(fault: Fault)

    /** Applies timeouts that are due and, when [mayStart], starts the waiting attempts that fit. */
    fun advance(mayStart: Boolean)

    fun nextDeadline(): Moment?
}

/** Refuses [attempt], which is open, and closes it. */
internal fun CompanionContext.refuse(attempt: AttemptId, fault: Fault, retryAfter: Duration, load: UpstreamLoad?) {
    output.send(attempts.owner(attempt), PeerMessage.Refused(attempt, fault, retryAfter, load))
    attempts.close(attempt, AttemptEnding.ANSWERED)
}

/** Whether an engine call that failed with [fault] may still run, since the engine did not confirm its end. */
internal fun mayStillRun(fault: Fault): Boolean = fault.cause in CAUSES_WITHOUT_CONFIRMED_END

private val CAUSES_WITHOUT_CONFIRMED_END = setOf(FaultCause.CONNECTION_LOST, FaultCause.TIMEOUT, FaultCause.PROTOCOL)
