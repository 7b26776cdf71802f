package org.lovageladder.http

import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Submission
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The exchanges whose outcome is not yet written, by identifier. */
internal class CallerExchanges(private val handler: CallerHandler, val meters: CallerMeters) {
    private val lastId = AtomicLong()
    private val unfinished = ConcurrentHashMap<ExchangeId, CallerExchange>()

    /** Whether every answer asks the caller to close its connection. */
    @Volatile
    var isDraining: Boolean = false

    val count: Int
        get() = unfinished.size

    fun find(id: ExchangeId): CallerExchange? = unfinished[id]

    fun nextId(): ExchangeId = ExchangeId(lastId.incrementAndGet())

    fun start(exchange: CallerExchange, submission: Submission) {
        unfinished[exchange.id] = exchange
        handler.onSubmission(exchange.id, submission)
    }

    /** Removes an exchange whose outcome was written. */
    fun remove(exchange: CallerExchange) {
        unfinished.remove(exchange.id)
    }

    /** Removes an exchange whose caller disconnected, and notifies the handler. */
    fun onCallerDisconnected(exchange: CallerExchange) {
        if (unfinished.remove(exchange.id) != null) {
            meters.recordDisconnect()
            handler.onCallerDisconnected(exchange.id)
        }
    }
}
