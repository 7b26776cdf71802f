package org.lovageladder.daemon

import org.lovageladder.core.HybridTime
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The one thread that owns the control state of a process. Other threads post events to it and never wait for it,
 * except with [ask]. An exception on this thread is given to [failed]; the thread has ended then.
 */
internal class ControlThread<Event : Any>(
    machine: ControlledMachine<Event>,
    private val meters: ControlMeters,
    private val failed: (Throwable) -> Unit,
) : AutoCloseable {
    private val queue = LinkedBlockingQueue<ControlTask<Event>>()
    private val loop = ControlLoop(machine)
    private val thread = Thread(::runUntilInterrupted, "control").apply { isDaemon = true }

    /** Starts the thread, which handles [first] before anything that was posted. */
    fun start(first: Event) {
        meters.watchQueue(queue)
        loop.run(listOf(ControlTask.Handle(first)))
        thread.start()
    }

    /** Queues [event], which came with the stamp [clock] when another process sent it. */
    fun post(event: Event, clock: HybridTime? = null) {
        queue.add(ControlTask.Handle(event, clock))
    }

    /** Queues [action] to be run on the control thread. */
    fun execute(action: () -> Unit) {
        queue.add(ControlTask.Run(action))
    }

    /** Runs [question] on the control thread and waits for its answer; null when none came within [timeout]. */
    fun <Answer : Any> ask(timeout: Duration = ANSWER_TIMEOUT, question: () -> Answer): Answer? {
        val answer = CompletableFuture<Answer>()
        execute { answer.complete(question()) }
        return answer.completeOnTimeout(null, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS).get()
    }

    override fun close() {
        thread.interrupt()
    }

    @Suppress("TooGenericExceptionCaught") // Whatever escapes from the decisions leaves their state in doubt.
    private fun runUntilInterrupted() {
        val tasks = ArrayList<ControlTask<Event>>()
        try {
            while (true) {
                takeInto(tasks)
                meters.handle(tasks.size) { loop.run(tasks) }
                tasks.clear()
            }
        } catch (_: InterruptedException) {
            return
        } catch (failure: Throwable) {
            failed(failure)
        }
    }

    private fun takeInto(tasks: MutableList<ControlTask<Event>>) {
        val first = queue.poll(waitMicroseconds(), TimeUnit.MICROSECONDS) ?: return
        tasks.add(first)
        queue.drainTo(tasks, BATCH_LIMIT)
    }

    private fun waitMicroseconds(): Long {
        val due = loop.nextDeadline() ?: return WAIT_LIMIT.inWholeMicroseconds
        return (due - monotonicNow()).coerceIn(Duration.ZERO, WAIT_LIMIT).inWholeMicroseconds
    }

    private companion object {
        val ANSWER_TIMEOUT = 2_000.milliseconds
        val WAIT_LIMIT = ControlLoop.PAUSE_LIMIT / 4
        const val BATCH_LIMIT = 1024
    }
}
