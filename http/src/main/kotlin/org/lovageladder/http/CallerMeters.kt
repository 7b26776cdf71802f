package org.lovageladder.http

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.netty.channel.Channel
import java.util.concurrent.TimeUnit

/** Metrics of the server towards callers. */
internal class CallerMeters(private val registry: MeterRegistry) {
    private val firstToken: Timer = Timer.builder("lovageladder.caller.first.token")
        .description("Time from the end of a caller's request to the first token handed to it")
        .register(registry)
    private val left: Counter = Counter.builder("lovageladder.caller.left")
        .description("Callers whose connection closed before their outcome was written")
        .register(registry)

    fun watch(connections: Set<Channel>, exchanges: CallerExchanges) {
        Gauge.builder("lovageladder.caller.connections", connections) { it.size.toDouble() }
            .description("Open connections of callers")
            .register(registry)
        Gauge.builder("lovageladder.caller.exchanges", exchanges) { it.count.toDouble() }
            .description("Requests of callers that wait for their outcome")
            .register(registry)
    }

    fun firstTokenAfter(nanoseconds: Long): Unit = firstToken.record(nanoseconds, TimeUnit.NANOSECONDS)

    fun callerLeft(): Unit = left.increment()

    fun answeredAfter(nanoseconds: Long, status: Int) {
        registry.timer("lovageladder.caller.answer", "status", status.toString())
            .record(nanoseconds, TimeUnit.NANOSECONDS)
    }
}
