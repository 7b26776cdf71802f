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

/**
 * Pool of connections without a call, by peer address. A call gets only a connection that may carry it, first one whose
 * last answer does not allow an unidentified one, which fewer calls can use, then the one used last. An identified call
 * follows another kind of call only at a peer that has named a call before; any other would get no answer that counts.
 */
internal class IdleConnections {
    private val namingPeers = ConcurrentHashMap.newKeySet<Address>()
    private val byAddress = ConcurrentHashMap<Address, ConcurrentLinkedDeque<IdleConnection>>()

    /** The peer at [address] has named a call in its answer. */
    fun recordNaming(address: Address) {
        namingPeers += address
    }

    /** Whether the peer at [address] has named a call in an answer. */
    fun isNaming(address: Address): Boolean = address in namingPeers

    /**
     * Removes and returns an open connection that may carry a call with [recognition] and whose idle timeout has not
     * ended, or null.
     */
    fun acquire(address: Address, recognition: AnswerRecognition): Channel? {
        val connections = byAddress[address] ?: return null
        val candidates = connections.filter { isSuitable(address, it.history, recognition) }
        return candidates.sortedBy { it.history.lastAnswer.allowsUnidentified }
            .firstOrNull { connections.remove(it) && isUsable(it) }
            ?.channel
    }

    private fun isSuitable(address: Address, history: ConnectionHistory, recognition: AnswerRecognition): Boolean {
        val needsName = recognition is AnswerRecognition.ByIdentifier && !history.lastAnswer.isIdentified
        if (needsName && !isNaming(address)) return false
        return history.mayCarry(recognition)
    }

    private fun isUsable(connection: IdleConnection): Boolean {
        if (!connection.channel.isActive) return false
        if (connection.idleSince.elapsedNow() < connection.timeout) return true
        connection.channel.close()
        return false
    }

    /**
     * Returns an open connection with its [history] to the pool; [announcedTimeout] is the idle timeout that the peer
     * announced.
     */
    fun release(address: Address, channel: Channel, history: ConnectionHistory, announcedTimeout: Duration? = null) {
        val timeout = announcedTimeout?.let { it - CLOSE_MARGIN } ?: DEFAULT_TIMEOUT
        val connections = byAddress.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        connections.addFirst(IdleConnection(channel, history, TimeSource.Monotonic.markNow(), timeout))
        closeSurplus(connections)
    }

    /** Closes the oldest of the connections that only identified calls can use, beyond a few. */
    private fun closeSurplus(connections: ConcurrentLinkedDeque<IdleConnection>) {
        connections.filter { it.history.lastAnswer == LastAnswer.UNIDENTIFIED }
            .drop(MAXIMUM_UNIDENTIFIED)
            .filter(connections::remove)
            .forEach { it.channel.close() }
    }

    /** Closes the idle connections to [address]. */
    fun closeAll(address: Address) {
        byAddress.remove(address)?.forEach { it.channel.close() }
    }

    /** Removes a closed connection. */
    fun remove(address: Address, channel: Channel) {
        byAddress[address]?.removeIf { it.channel === channel }
    }

    private class IdleConnection(
        val channel: Channel,
        val history: ConnectionHistory,
        val idleSince: TimeMark,
        val timeout: Duration,
    )

    private companion object {
        /** Default idle timeout, below the five seconds after which common engine servers close idle connections. */
        val DEFAULT_TIMEOUT = 4.seconds

        /** Subtracted from the announced timeout, since a peer may close this much earlier than this side expects. */
        val CLOSE_MARGIN = 500.milliseconds

        /** Maximum number of idle connections to an address whose last answer was unidentified. */
        const val MAXIMUM_UNIDENTIFIED = 4
    }
}
