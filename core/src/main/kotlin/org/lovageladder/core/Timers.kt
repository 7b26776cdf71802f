package org.lovageladder.core

import java.util.TreeMap

/** Scheduled actions, run in order of time and then of scheduling when [runDue] is called. Confined to one thread. */
internal class Timers {
    private val actions = TreeMap<TimerKey, (Moment) -> Unit>()
    private var sequence = 0L

    /** Schedules [action] for [moment]; the returned timer cancels it. */
    fun at(moment: Moment, action: (Moment) -> Unit): Timer {
        val key = TimerKey(moment, sequence++)
        actions[key] = action
        return Timer { actions.remove(key) }
    }

    /** Time of the earliest action; null when there is none. */
    fun earliest(): Moment? = if (actions.isEmpty()) null else actions.firstKey().moment

    /** Runs every action due at [now], including those that these actions schedule for [now] or earlier. */
    fun runDue(now: Moment) {
        while (actions.isNotEmpty() && actions.firstKey().moment <= now) {
            actions.pollFirstEntry().value(now)
        }
    }
}

/** Handle of a scheduled action. */
internal fun interface Timer {
    /** Cancels the action; does nothing when it has already run. */
    fun cancel()
}

private data class TimerKey(val moment: Moment, val sequence: Long) : Comparable<TimerKey> {
    override fun compareTo(other: TimerKey): Int = compareValuesBy(this, other, TimerKey::moment, TimerKey::sequence)
}
