package org.lovageladder.http

import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Submission
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Exchanges that wait for their outcome, by identifier. */
internal class CallerExchanges(private val handler: CallerHandler, val meters: CallerMeters) {
    private val lastId = AtomicLong()
    private val waiting = ConcurrentHashMap<ExchangeId, CallerExchange>()

    /** Whether answers ask callers to close their connections. */
    @Volatile
    var draining: Boolean = false

    val count: Int
        get() = waiting.size

    fun find(id: ExchangeId): CallerExchange? = waiting[id]

    fun nextId(): ExchangeId = ExchangeId(lastId.incrementAndGet())

    fun begin(exchange: CallerExchange, submission: Submission) {
        waiting[exchange.id] = exchange
        handler.submitted(exchange.id, submission)
    }

    /** Forgets an exchange whose outcome was written. */
    fun end(exchange: CallerExchange) {
        waiting.remove(exchange.id)
    }

    /** Forgets an exchange whose caller is gone. */
    fun leave(exchange: CallerExchange) {
        if (waiting.remove(exchange.id) != null) {
            meters.callerLeft()
            handler.left(exchange.id)
        }
    }
}
