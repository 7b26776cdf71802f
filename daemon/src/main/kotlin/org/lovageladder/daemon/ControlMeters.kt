package org.lovageladder.daemon

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/** Metrics of the control thread. */
internal class ControlMeters(private val registry: MeterRegistry) {
    private val tasks = registry.counter("lovageladder.control.tasks")
    private val handling: Timer =
        Timer.builder("lovageladder.control.handling")
            .description("Time to handle all that was queued, with its effects")
            .register(registry)

    /** Registers the length of [queue] as a metric. */
    fun registerQueue(queue: Collection<*>) {
        Gauge.builder("lovageladder.control.queue", queue) { it.size.toDouble() }.register(registry)
    }

    /** Runs [handleTasks], which handles [taskCount] tasks, and records its duration; without tasks records nothing. */
    fun recordTasks(taskCount: Int, handleTasks: () -> Unit) {
        val startedAt = System.nanoTime()
        handleTasks()
        if (taskCount == 0) return
        handling.record(System.nanoTime() - startedAt, TimeUnit.NANOSECONDS)
        tasks.increment(taskCount.toDouble())
    }
}
