package org.lovageladder.core.forward

import kotlin.time.Duration

/**
 * Tells how much of its time a caller spent before it came back: callers of a route wait alike from their first
 * submission, and one that comes back waits for what is left of that. Confined to one thread.
 */
internal class CallerWaits {
    private val longest = HashMap<String, Duration>()

    /** Time that a caller of [route] spent before, when it says that it waits for [wait] now. */
    fun spentBefore(route: Route, wait: Duration?): Duration {
        if (wait == null) return Duration.ZERO
        val whole = maxOf(longest[route.name] ?: wait, wait)
        longest[route.name] = whole
        return whole - wait
    }
}
