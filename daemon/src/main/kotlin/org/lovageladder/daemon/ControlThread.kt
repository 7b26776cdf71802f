package org.lovageladder.daemon

import org.lovageladder.core.HybridTime
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The only thread that uses the control state of a process. Other threads post events to it and don't wait for it,
 * except with [query]. An exception ends the thread and is passed to [onFailure].
 */
internal class ControlThread<Event : Any>(
    stateMachine: StateMachine<Event>,
    private val meters: ControlMeters,
    private val onFailure: (Throwable) -> Unit,
) : AutoCloseable {
    private val queue = LinkedBlockingQueue<ControlTask<Event>>()
    private val loop = ControlLoop(stateMachine)
    private val thread = Thread(::runUntilInterrupted, "control").apply { isDaemon = true }

    /** Handles [first] on the calling thread, then starts the control thread. */
    fun start(first: Event) {
        meters.registerQueue(queue)
        loop.run(listOf(ControlTask.Handle(first)))
        thread.start()
    }

    /** Queues [event]; [clock] is the time stamp of the message when another process sent it. */
    fun post(event: Event, clock: HybridTime? = null) {
        queue.add(ControlTask.Handle(event, clock))
    }

    /** Queues [action] to be run on the control thread. */
    fun execute(action: () -> Unit) {
        queue.add(ControlTask.Run(action))
    }

    /** Runs [action] on the control thread and returns its result; null without a result within [timeout]. */
    fun <Answer : Any> query(timeout: Duration = QUERY_TIMEOUT, action: () -> Answer): Answer? {
        val answer = CompletableFuture<Answer>()
        execute { answer.complete(action()) }
        return answer.completeOnTimeout(null, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS).get()
    }

    override fun close() {
        thread.interrupt()
    }

    @Suppress("TooGenericExceptionCaught") // After any exception the state of the decisions may be inconsistent.
    private fun runUntilInterrupted() {
        val tasks = ArrayList<ControlTask<Event>>()
        try {
            while (true) {
                takeTasks(tasks)
                meters.recordTasks(tasks.size) { loop.run(tasks) }
                tasks.clear()
            }
        } catch (_: InterruptedException) {
            return
        } catch (failure: Throwable) {
            onFailure(failure)
        }
    }

    private fun takeTasks(tasks: MutableList<ControlTask<Event>>) {
        val first = queue.poll(pollTimeoutMicroseconds(), TimeUnit.MICROSECONDS) ?: return
        tasks.add(first)
        queue.drainTo(tasks, BATCH_LIMIT)
    }

    private fun pollTimeoutMicroseconds(): Long {
        val due = loop.nextDeadline() ?: return MAXIMUM_POLL_TIMEOUT.inWholeMicroseconds
        return (due - monotonicNow()).coerceIn(Duration.ZERO, MAXIMUM_POLL_TIMEOUT).inWholeMicroseconds
    }

    private companion object {
        val QUERY_TIMEOUT = 2_000.milliseconds
        val MAXIMUM_POLL_TIMEOUT = ControlLoop.SUSPENSION_THRESHOLD / 4
        const val BATCH_LIMIT = 1024
    }
}
