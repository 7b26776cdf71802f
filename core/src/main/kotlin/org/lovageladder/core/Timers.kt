package org.lovageladder.core

import java.util.TreeMap

/**
 * Actions due at given times, run by their owner in order of time and then of scheduling. Confined to one thread.
 */
internal class Timers {
    private val due = TreeMap<TimerKey, (Moment) -> Unit>()
    private var sequence = 0L

    /** Runs [action] at [moment] unless the returned timer is cancelled before. */
    fun at(moment: Moment, action: (Moment) -> Unit): Timer {
        val key = TimerKey(moment, sequence++)
        due[key] = action
        return Timer { due.remove(key) }
    }

    /** Time of the earliest action; null when there is none. */
    fun next(): Moment? = if (due.isEmpty()) null else due.firstKey().moment

    /** Runs every action due at [now], including those scheduled meanwhile for [now] or before. */
    fun runDue(now: Moment) {
        while (due.isNotEmpty() && due.firstKey().moment <= now) {
            due.pollFirstEntry().value(now)
        }
    }
}

/** Handle of a scheduled action. */
internal fun interface Timer {
    /** Prevents the action; does nothing when it ran already. */
    fun cancel()
}

private data class TimerKey(val moment: Moment, val sequence: Long) : Comparable<TimerKey> {
    override fun compareTo(other: TimerKey): Int = compareValuesBy(this, other, TimerKey::moment, TimerKey::sequence)
}
