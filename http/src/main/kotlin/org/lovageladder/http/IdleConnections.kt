package org.lovageladder.http

import io.netty.channel.Channel
import org.lovageladder.core.Address
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Connections that carry no call now, by the address they lead to. The one used last is taken first. */
internal class IdleConnections {
    private val byAddress = ConcurrentHashMap<Address, ConcurrentLinkedDeque<IdleConnection>>()

    /** Takes a connection that is open and was used lately, or null. */
    fun take(address: Address): Channel? {
        val connections = byAddress[address] ?: return null
        while (true) {
            val connection = connections.pollFirst() ?: return null
            if (!connection.channel.isActive) {
                continue
            }
            if (connection.since.elapsedNow() < connection.limit) {
                return connection.channel
            }
            connection.channel.close()
        }
    }

    /** Keeps an open connection for later calls; [announced] is how long the peer said that it keeps it. */
    fun give(address: Address, channel: Channel, announced: Duration? = null) {
        val limit = announced?.let { it - CLOSE_MARGIN } ?: IDLE_LIMIT
        val connections = byAddress.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        connections.addFirst(IdleConnection(channel, TimeSource.Monotonic.markNow(), limit))
    }

    /** Forgets a connection that closed. */
    fun remove(address: Address, channel: Channel) {
        byAddress[address]?.removeIf { it.channel === channel }
    }

    private class IdleConnection(val channel: Channel, val since: TimeMark, val limit: Duration)

    private companion object {
        /** Below the five seconds after which common engine servers close an idle connection. */
        val IDLE_LIMIT = 4.seconds

        /** A peer may close a connection this long before the announced time is over on this side. */
        val CLOSE_MARGIN = 500.milliseconds
    }
}
