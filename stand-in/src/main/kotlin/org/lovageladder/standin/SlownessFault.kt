package org.lovageladder.standin

import kotlin.time.Duration.Companion.milliseconds

/** Slowness and stall fields of a `POST /fault` body. */
internal data class SlownessFault(val slowFactor: Double?, val forMilliseconds: Long?, val stallMilliseconds: Long?) {
    /** Injects the fault; throws [RequestRefused] with status 400 if a value is out of range or `for_ms` is missing. */
    fun applyTo(slowness: Slowness) {
        if (slowFactor != null) {
            requireField(slowFactor > 0, "slow_factor", slowFactor, "above 0")
            requireField(forMilliseconds != null, "for_ms", null, "a number of milliseconds, with slow_factor")
            slowness.slowDown(slowFactor, (forMilliseconds ?: 0).milliseconds)
        }
        if (stallMilliseconds != null) {
            requireField(stallMilliseconds >= 0, "stall_ms", stallMilliseconds, "0 or more")
            slowness.stall(stallMilliseconds.milliseconds)
        }
    }
}
