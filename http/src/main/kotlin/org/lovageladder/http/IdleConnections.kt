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

/** Pool of connections without a call, by peer address. The most recently used connection is acquired first. */
internal class IdleConnections {
    private val byAddress = ConcurrentHashMap<Address, ConcurrentLinkedDeque<IdleConnection>>()

    /** Removes and returns an open connection whose idle timeout has not ended, or null. */
    fun acquire(address: Address): Channel? {
        val connections = byAddress[address] ?: return null
        while (true) {
            val connection = connections.pollFirst() ?: return null
            if (!connection.channel.isActive) {
                continue
            }
            if (connection.idleSince.elapsedNow() < connection.timeout) {
                return connection.channel
            }
            connection.channel.close()
        }
    }

    /** Returns an open connection to the pool; [announcedTimeout] is the idle timeout that the peer announced. */
    fun release(address: Address, channel: Channel, announcedTimeout: Duration? = null) {
        val timeout = announcedTimeout?.let { it - CLOSE_MARGIN } ?: DEFAULT_TIMEOUT
        val connections = byAddress.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        connections.addFirst(IdleConnection(channel, TimeSource.Monotonic.markNow(), timeout))
    }

    /** Removes a closed connection. */
    fun remove(address: Address, channel: Channel) {
        byAddress[address]?.removeIf { it.channel === channel }
    }

    private class IdleConnection(val channel: Channel, val idleSince: TimeMark, val timeout: Duration)

    private companion object {
        /** Default idle timeout, below the five seconds after which common engine servers close idle connections. */
        val DEFAULT_TIMEOUT = 4.seconds

        /** Subtracted from the announced timeout, since a peer may close this much earlier than this side expects. */
        val CLOSE_MARGIN = 500.milliseconds
    }
}
