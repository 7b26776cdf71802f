package org.lovageladder.daemon

import org.lovageladder.core.HybridTime
import org.lovageladder.core.Moment
import kotlin.time.Duration.Companion.seconds

/** Handles the events of a [ControlLoop], which passes the next event when the effects of the last are performed. */
internal interface StateMachine<Event : Any> {
    /** The event that only reports that time passed. */
    val timePassed: Event

    /** Handles [event] at [now] and performs its effects. */
    fun handle(event: Event, now: Moment)

    /** Advances the hybrid clock past [clock], the time stamp of a message from another process. */
    fun observe(clock: HybridTime)

    /** Latest time at which [timePassed] has to be handled; null without a pending deadline. */
    fun nextDeadline(): Moment?
}

/** A task in the queue of the control thread. */
internal sealed interface ControlTask<out Event : Any> {
    /** Handles [event]; [clock] is the time stamp of the message when another process sent it. */
    data class Handle<Event : Any>(val event: Event, val clock: HybridTime? = null) : ControlTask<Event>

    /** Runs [action], which uses state that is confined to the control thread. */
    class Run(val action: () -> Unit) : ControlTask<Nothing>
}

/**
 * Runs tasks against a state machine in the order of their arrival, and reports passed deadlines. More than
 * [SUSPENSION_THRESHOLD] between two reads of the clock means that the process was suspended: the state machine handles
 * [StateMachine.timePassed] before any task that waited. Confined to one thread, which has to call [run] at least every
 * half of [SUSPENSION_THRESHOLD].
 */
internal class ControlLoop<Event : Any>(
    private val stateMachine: StateMachine<Event>,
    private val clock: () -> Moment = ::monotonicNow,
) {
    private var lastReadAt = clock()

    /** Runs all of [tasks], then handles [StateMachine.timePassed] if a deadline has passed. */
    fun run(tasks: List<ControlTask<Event>>) {
        tasks.forEach(::runTask)
        val now = readClock()
        val due = stateMachine.nextDeadline()
        if (due != null && due <= now) stateMachine.handle(stateMachine.timePassed, now)
    }

    /** Latest time of the next [run], also without tasks; null without a pending deadline. */
    fun nextDeadline(): Moment? = stateMachine.nextDeadline()

    private fun runTask(task: ControlTask<Event>) {
        val now = readClock()
        when (task) {
            is ControlTask.Run -> task.action()
            is ControlTask.Handle -> {
                task.clock?.let(stateMachine::observe)
                stateMachine.handle(task.event, now)
            }
        }
    }

    private fun readClock(): Moment {
        val now = clock()
        val wasSuspended = now - lastReadAt > SUSPENSION_THRESHOLD
        lastReadAt = now
        if (wasSuspended) stateMachine.handle(stateMachine.timePassed, now)
        return now
    }

    internal companion object {
        val SUSPENSION_THRESHOLD = 1.seconds
    }
}

/** Time of the monotonic clock of this process. */
internal fun monotonicNow(): Moment = Moment(System.nanoTime() / NANOSECONDS_PER_MICROSECOND)

private const val NANOSECONDS_PER_MICROSECOND = 1000L
