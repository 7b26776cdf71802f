package org.lovageladder.core

import kotlin.time.Duration

/** What waits for, holds or runs at one upstream of a companion's host. */
internal sealed interface UpstreamScheduler {
    /** The upstream as the release in force has it. */
    var upstream: ReleaseEntry.Upstream
    val load: UpstreamLoad

    /** Whether nothing waits, is reserved or runs. */
    val isIdle: Boolean
    val reservationCount: Int
    val runningCallCount: Int

    /** Frees what [attempt] holds; nothing more is sent about it. */
    fun cancel(attempt: AttemptId, ending: AttemptEnding)

    fun onReport(attempt: AttemptId, report: UpstreamReport)

    fun onCancelEnded(attempt: AttemptId, confirmed: Boolean)

    /** Refuses all that waits. What is granted or started stays. */
    fun refuseWaiting(fault: Fault)

    /** Lets pass what is due, and starts what fits when [mayStart]. */
    fun advance(mayStart: Boolean)

    fun nextDeadline(): Moment?
}

/** Refuses [attempt], which is open, and closes it. */
internal fun CompanionContext.refuse(attempt: AttemptId, fault: Fault, retryAfter: Duration, load: UpstreamLoad?) {
    output.send(attempts.owner(attempt), PeerMessage.Refused(attempt, fault, retryAfter, load))
    attempts.close(attempt, AttemptEnding.ANSWERED)
}

/** Whether an engine call that failed with [fault] may still occupy the engine, which has not said that it ended. */
internal fun mayStillRun(fault: Fault): Boolean = fault.cause in CAUSES_WITHOUT_CONFIRMED_END

private val CAUSES_WITHOUT_CONFIRMED_END = setOf(FaultCause.CONNECTION_LOST, FaultCause.TIMEOUT, FaultCause.PROTOCOL)
