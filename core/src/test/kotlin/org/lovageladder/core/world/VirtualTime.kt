package org.lovageladder.core.world

import org.lovageladder.core.Moment
import java.util.PriorityQueue
import kotlin.time.Duration

/** Clock and scheduler of the simulation: actions run in order of time and then of scheduling. */
internal class VirtualTime {
    private val queue = PriorityQueue<Scheduled>()
    private var sequence = 0L

    var now: Moment = Moment(START_MICROSECONDS)
        private set

    fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    fun at(moment: Moment, action: () -> Unit) {
        queue += Scheduled(maxOf(moment, now), sequence++, action)
    }

    fun advance(duration: Duration) {
        val end = now + duration
        while (true) {
            val next = queue.peek()?.takeIf { it.moment <= end } ?: break
            queue.remove()
            now = next.moment
            next.action()
        }
        now = end
    }

    private class Scheduled(val moment: Moment, val sequence: Long, val action: () -> Unit) : Comparable<Scheduled> {
        override fun compareTo(other: Scheduled): Int =
            compareValuesBy(this, other, Scheduled::moment, Scheduled::sequence)
    }

    private companion object {
        const val START_MICROSECONDS = 1_000_000L
    }
}
