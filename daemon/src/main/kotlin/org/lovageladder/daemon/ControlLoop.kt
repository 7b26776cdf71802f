package org.lovageladder.daemon

import org.lovageladder.core.HybridTime
import org.lovageladder.core.Moment
import kotlin.time.Duration.Companion.seconds

/** Decisions as the control loop drives them: events go in, and effects are carried out before the next one. */
internal interface ControlledMachine<Event : Any> {
    /** The event that reports nothing but the time. */
    val timePassed: Event

    /** Handles [event] and carries out what follows from it. */
    fun handle(event: Event, now: Moment)

    /** Takes notice of a stamp on a message from another process. */
    fun observe(clock: HybridTime)

    /** When [timePassed] is due at the latest; null when nothing waits. */
    fun nextDeadline(): Moment?
}

/** What the control thread is asked to do. */
internal sealed interface ControlTask<out Event : Any> {
    /** Handles an event that came with the stamp [clock] when another process sent it. */
    data class Handle<Event : Any>(val event: Event, val clock: HybridTime? = null) : ControlTask<Event>

    /** Runs something that needs the state of the control thread. */
    class Run(val action: () -> Unit) : ControlTask<Nothing>
}

/**
 * Runs tasks against a machine in the order of their arrival, and reports deadlines. When more than [PAUSE_LIMIT]
 * passed since the loop last looked at the clock, the process was not running: the machine is told of the time before
 * anything that waited. Confined to one thread, which has to call [run] at least every half of [PAUSE_LIMIT].
 */
internal class ControlLoop<Event : Any>(
    private val machine: ControlledMachine<Event>,
    private val clock: () -> Moment = ::monotonicNow,
) {
    private var lastLook = clock()

    /** Runs all of [tasks], then reports the time if a deadline has passed. */
    fun run(tasks: List<ControlTask<Event>>) {
        tasks.forEach(::runOne)
        val now = look()
        val due = machine.nextDeadline()
        if (due != null && due <= now) machine.handle(machine.timePassed, now)
    }

    /** When [run] is due at the latest, even without tasks. */
    fun nextDeadline(): Moment? = machine.nextDeadline()

    private fun runOne(task: ControlTask<Event>) {
        val now = look()
        when (task) {
            is ControlTask.Run -> task.action()
            is ControlTask.Handle -> {
                task.clock?.let(machine::observe)
                machine.handle(task.event, now)
            }
        }
    }

    private fun look(): Moment {
        val now = clock()
        val paused = now - lastLook > PAUSE_LIMIT
        lastLook = now
        if (paused) machine.handle(machine.timePassed, now)
        return now
    }

    internal companion object {
        val PAUSE_LIMIT = 1.seconds
    }
}

/** The process's monotonic clock. */
internal fun monotonicNow(): Moment = Moment(System.nanoTime() / NANOSECONDS_PER_MICROSECOND)

private const val NANOSECONDS_PER_MICROSECOND = 1000L
