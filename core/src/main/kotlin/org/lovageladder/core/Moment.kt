package org.lovageladder.core

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Point on a process's monotonic clock, in microseconds since an arbitrary start. Never sent to another process. */
@JvmInline
public value class Moment(public val microseconds: Long) : Comparable<Moment> {
    override fun compareTo(other: Moment): Int = microseconds.compareTo(other.microseconds)

    public operator fun plus(duration: Duration): Moment = Moment(microseconds + duration.inWholeMicroseconds)

    public operator fun minus(duration: Duration): Moment = Moment(microseconds - duration.inWholeMicroseconds)

    public operator fun minus(other: Moment): Duration = (microseconds - other.microseconds).microseconds
}

/**
 * Time stamp of a hybrid logical clock: wall time in milliseconds, and a counter that orders events within one
 * millisecond or while the wall clock is behind a stamp received from another process.
 */
@Serializable
public data class HybridTime(val milliseconds: Long, val counter: Int) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int =
        compareValuesBy(this, other, HybridTime::milliseconds, HybridTime::counter)
}

/**
 * Hybrid logical clock after Kulkarni et al., "Logical Physical Clocks" (2014). Stamps grow strictly within a
 * process, and a stamp taken after a message was observed is greater than the stamp on that message.
 * Confined to one thread. [wallMilliseconds] is the process's wall clock.
 */
public class HybridClock(private val wallMilliseconds: () -> Long) {
    private var last = HybridTime(0, 0)

    /** Returns the next stamp. */
    public fun next(): HybridTime {
        val wall = wallMilliseconds()
        last = if (wall > last.milliseconds) HybridTime(wall, 0) else last.copy(counter = last.counter + 1)
        return last
    }

    /** Moves the clock past [received], a stamp on a message from another process. */
    public fun observe(received: HybridTime) {
        if (received > last) last = received
    }
}
