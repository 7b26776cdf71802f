package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds

/** Spaces calls out to [callsPerSecond]: each waits until the ones before it have had their share; 0 sets no limit. */
internal class KeyValuePace(private val thread: EventLoopThread, private val callsPerSecond: Int) {
    private var nextStart = ZERO

    /** Takes the next place and says how long the call has to wait for it. */
    fun takePlace(): Duration {
        if (callsPerSecond == 0) {
            return ZERO
        }
        val now = thread.now()
        val start = maxOf(now, nextStart)
        nextStart = start + 1.seconds / callsPerSecond
        return start - now
    }
}
