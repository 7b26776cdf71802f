package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/** Slowness and stalls injected into a stand-in; each ends after its duration. */
internal class Slowness(private val thread: EventLoopThread) {
    private var factor = 1.0
    private var slowUntil = ZERO
    private var stalledUntil = ZERO

    /** Factor by which step durations are currently multiplied; 1 when nothing is injected. */
    fun currentFactor(): Double = if (thread.now() < slowUntil) factor else 1.0

    /** Remaining time of the current stall; zero when there is none. */
    fun remainingStall(): Duration = (stalledUntil - thread.now()).coerceAtLeast(ZERO)

    fun slowDown(factor: Double, duration: Duration) {
        this.factor = factor
        slowUntil = thread.now() + duration
    }

    fun stall(duration: Duration) {
        stalledUntil = thread.now() + duration
    }
}
