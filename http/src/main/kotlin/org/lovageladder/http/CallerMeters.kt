package org.lovageladder.http

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.netty.channel.Channel
import java.util.concurrent.TimeUnit

/** Metrics of the caller server. */
internal class CallerMeters(private val registry: MeterRegistry) {
    private val firstToken: Timer = Timer.builder("lovageladder.caller.first.token")
        .description("Time from the end of a caller's request to its first token")
        .register(registry)
    private val disconnects: Counter = Counter.builder("lovageladder.caller.left")
        .description("Callers that disconnected before their outcome was written")
        .register(registry)

    fun registerGauges(connections: Set<Channel>, exchanges: CallerExchanges) {
        Gauge.builder("lovageladder.caller.connections", connections) { it.size.toDouble() }
            .description("Open connections of callers")
            .register(registry)
        Gauge.builder("lovageladder.caller.exchanges", exchanges) { it.count.toDouble() }
            .description("Requests of callers whose outcome is not yet written")
            .register(registry)
    }

    fun recordFirstToken(nanoseconds: Long): Unit = firstToken.record(nanoseconds, TimeUnit.NANOSECONDS)

    fun recordDisconnect(): Unit = disconnects.increment()

    fun recordAnswer(nanoseconds: Long, status: Int) {
        registry.timer("lovageladder.caller.answer", "status", status.toString())
            .record(nanoseconds, TimeUnit.NANOSECONDS)
    }
}
