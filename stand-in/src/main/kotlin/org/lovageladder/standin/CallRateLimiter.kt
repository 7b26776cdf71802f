package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds

/** Rate limiter that spaces call starts evenly at [callsPerSecond], in order of arrival; 0 sets no limit. */
internal class CallRateLimiter(private val thread: EventLoopThread, private val callsPerSecond: Int) {
    private var nextStartAt = ZERO

    /** Reserves the next start time and returns how long the call must wait for it. */
    fun reserveStart(): Duration {
        if (callsPerSecond == 0) {
            return ZERO
        }
        val now = thread.now()
        val startAt = maxOf(now, nextStartAt)
        nextStartAt = startAt + 1.seconds / callsPerSecond
        return startAt - now
    }
}
