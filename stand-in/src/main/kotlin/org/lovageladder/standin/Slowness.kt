package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/** Injected slowness and stalls of a stand-in, each ending by itself. */
internal class Slowness(private val thread: EventLoopThread) {
    private var factor = 1.0
    private var factorEnds = ZERO
    private var stallEnds = ZERO

    /** What the time of each step is multiplied by now; 1 when nothing is injected. */
    fun currentFactor(): Double = if (thread.now() < factorEnds) factor else 1.0

    /** How long the present stall still lasts; zero when there is none. */
    fun remainingStall(): Duration = (stallEnds - thread.now()).coerceAtLeast(ZERO)

    fun slowDown(factor: Double, duration: Duration) {
        this.factor = factor
        factorEnds = thread.now() + duration
    }

    fun stall(duration: Duration) {
        stallEnds = thread.now() + duration
    }
}
