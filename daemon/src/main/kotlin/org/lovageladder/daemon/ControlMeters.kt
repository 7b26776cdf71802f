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

    /** Shows the length of [queue]. */
    fun watchQueue(queue: Collection<*>) {
        Gauge.builder("lovageladder.control.queue", queue) { it.size.toDouble() }.register(registry)
    }

    /** Times [run], which handles [count] tasks. */
    fun handle(count: Int, run: () -> Unit) {
        val begin = System.nanoTime()
        run()
        if (count == 0) return
        handling.record(System.nanoTime() - begin, TimeUnit.NANOSECONDS)
        tasks.increment(count.toDouble())
    }
}
