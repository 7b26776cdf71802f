package org.lovageladder.core

import java.util.TreeSet

/** An attempt that waits until [deadline]. [arrival] increases with each attempt added to the queue. */
internal class WaitingAttempt<out T>(
    val attempt: AttemptId,
    val worth: Double,
    val deadline: Moment,
    val arrival: Long,
    val message: T,
)

/** Queue in order of worth, highest first, then of deadline, then of arrival. */
internal class WorthQueue<T> : Iterable<WaitingAttempt<T>> {
    private val byAttempt = HashMap<AttemptId, WaitingAttempt<T>>()
    private val byWorth = TreeSet<WaitingAttempt<T>>(WORTH_ORDER)
    private val byDeadline = TreeSet<WaitingAttempt<T>>(DEADLINE_ORDER)
    private var lastArrival = 0L

    val size: Int get() = byWorth.size

    fun add(attempt: AttemptId, worth: Double, deadline: Moment, message: T) {
        val waiting = WaitingAttempt(attempt, worth, deadline, ++lastArrival, message)
        byAttempt[attempt] = waiting
        byWorth.add(waiting)
        byDeadline.add(waiting)
    }

    fun first(): WaitingAttempt<T>? = if (byWorth.isEmpty()) null else byWorth.first()

    fun last(): WaitingAttempt<T>? = if (byWorth.isEmpty()) null else byWorth.last()

    fun find(attempt: AttemptId): WaitingAttempt<T>? = byAttempt[attempt]

    fun remove(attempt: AttemptId): WaitingAttempt<T>? {
        val waiting = byAttempt.remove(attempt) ?: return null
        byWorth.remove(waiting)
        byDeadline.remove(waiting)
        return waiting
    }

    /** Removes and returns the attempts whose deadline is before [moment]. */
    fun removeDueBefore(moment: Moment): List<WaitingAttempt<T>> = removeWhileDue { it < moment }

    /** Removes and returns the attempts whose deadline is at or before [moment]. */
    fun removeDueAt(moment: Moment): List<WaitingAttempt<T>> = removeWhileDue { it <= moment }

    fun removeAll(): List<WaitingAttempt<T>> = removeWhileDue { true }

    fun nextDeadline(): Moment? = if (byDeadline.isEmpty()) null else byDeadline.first().deadline

    override fun iterator(): Iterator<WaitingAttempt<T>> = byWorth.toList().iterator()

    private fun removeWhileDue(isDue: (Moment) -> Boolean): List<WaitingAttempt<T>> {
        val removed = ArrayList<WaitingAttempt<T>>()
        while (byDeadline.isNotEmpty() && isDue(byDeadline.first().deadline)) {
            val waiting = byDeadline.first()
            remove(waiting.attempt)
            removed.add(waiting)
        }
        return removed
    }

    private companion object {
        val DEADLINE_ORDER = compareBy<WaitingAttempt<*>>({ it.deadline }, { it.arrival })
        val WORTH_ORDER = compareByDescending<WaitingAttempt<*>> { it.worth }.then(DEADLINE_ORDER)
    }
}
