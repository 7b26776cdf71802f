package org.lovageladder.core.world

import org.lovageladder.core.Envelope
import org.lovageladder.core.Moment
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds

/** Ordered, delayed connections between processes, with injectable faults. */
internal class Network(private val time: VirtualTime, private val random: Random) {
    private val channels = mutableListOf<Channel>()
    private var blockedForNewConnections: Direction? = null

    var isDuplicating = false

    /** Stops delivery in [direction] on every open connection and, if [alsoNewConnections], on every later one. */
    fun block(direction: Direction, alsoNewConnections: Boolean) {
        channels.filter { it.isOpen }.forEach { it.blocked += direction }
        if (alsoNewConnections) blockedForNewConnections = direction
    }

    /** Closes every open connection; messages in transit are lost. */
    fun closeAll() {
        channels.filter { it.isOpen }.forEach { it.close() }
    }

    fun removeFaults() {
        blockedForNewConnections = null
        isDuplicating = false
    }

    fun open(entrySide: Endpoint, companionSide: Endpoint): Channel {
        channels.removeAll { !it.isOpen }
        val channel = Channel(entrySide, companionSide)
        blockedForNewConnections?.let { channel.blocked += it }
        channels += channel
        return channel
    }

    inner class Channel(private val entrySide: Endpoint, private val companionSide: Endpoint) {
        val blocked = mutableSetOf<Direction>()
        private var lastToEntry = time.now
        private var lastToCompanion = time.now

        private var isDelivering = true

        var isOpen = true
            private set

        fun sendToEntry(envelope: Envelope) {
            if (!isOpen || Direction.TO_ENTRY in blocked) return
            lastToEntry = maxOf(lastToEntry, time.now + delay())
            scheduleDelivery(lastToEntry) { entrySide.onReceived(envelope) }
        }

        fun sendToCompanion(envelope: Envelope) {
            if (!isOpen || Direction.TO_COMPANION in blocked) return
            lastToCompanion = maxOf(lastToCompanion, time.now + delay())
            scheduleDelivery(lastToCompanion) { companionSide.onReceived(envelope) }
        }

        /**
         * Closes the connection and notifies each side that is not blocked. Messages in transit are delivered first if
         * [deliverPending] is set, and lost otherwise.
         */
        fun close(deliverPending: Boolean = false) {
            if (!isOpen) return
            isOpen = false
            isDelivering = deliverPending
            time.at(maxOf(lastToEntry, time.now + delay())) { if (Direction.TO_ENTRY !in blocked) entrySide.onClosed() }
            time.at(maxOf(lastToCompanion, time.now + delay())) {
                if (Direction.TO_COMPANION !in blocked) companionSide.onClosed()
            }
        }

        private fun scheduleDelivery(moment: Moment, deliver: () -> Unit) {
            time.at(moment) { if (isDelivering) deliver() }
            if (isDuplicating && random.nextInt(DUPLICATE_ONE_IN) == 0) time.at(moment) { if (isDelivering) deliver() }
        }

        private fun delay() = random.nextInt(MAXIMUM_DELAY_MICROSECONDS).microseconds
    }

    private companion object {
        const val MAXIMUM_DELAY_MICROSECONDS = 2000
        const val DUPLICATE_ONE_IN = 5
    }
}

internal enum class Direction {
    TO_ENTRY,
    TO_COMPANION,
}

/** Callbacks of the process at one end of a connection. */
internal interface Endpoint {
    fun onReceived(envelope: Envelope)

    fun onClosed()
}
