package org.lovageladder.core.world

import org.lovageladder.core.Envelope
import org.lovageladder.core.Moment
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds

/** Connections between processes: ordered, delayed, and cut in one or both directions on demand. */
internal class Network(private val time: VirtualTime, private val random: Random) {
    private val channels = mutableListOf<Channel>()
    private var cutAll: Cut? = null

    var duplicates = false

    /** Makes every open connection, or every later one too, deliver nothing in the directions of [cut]. */
    fun cut(cut: Cut, lasting: Boolean) {
        channels.filter { it.open }.forEach { it.cuts += cut }
        if (lasting) cutAll = cut
    }

    /** Breaks every open connection; what is under way on it is lost. */
    fun breakAll() {
        channels.filter { it.open }.forEach { it.close() }
    }

    fun heal() {
        cutAll = null
        duplicates = false
    }

    fun open(entrySide: Endpoint, companionSide: Endpoint): Channel {
        channels.removeAll { !it.open }
        val channel = Channel(entrySide, companionSide)
        cutAll?.let { channel.cuts += it }
        channels += channel
        return channel
    }

    inner class Channel(private val entrySide: Endpoint, private val companionSide: Endpoint) {
        val cuts = mutableSetOf<Cut>()
        private var lastToEntry = time.now
        private var lastToCompanion = time.now

        private var delivering = true

        var open = true
            private set

        fun toEntry(envelope: Envelope) {
            if (!open || Cut.TO_ENTRY in cuts) return
            lastToEntry = maxOf(lastToEntry, time.now + delay())
            carry(lastToEntry) { entrySide.received(envelope) }
        }

        fun toCompanion(envelope: Envelope) {
            if (!open || Cut.TO_COMPANION in cuts) return
            lastToCompanion = maxOf(lastToCompanion, time.now + delay())
            carry(lastToCompanion) { companionSide.received(envelope) }
        }

        /**
         * Closes the connection; each side that is still reached learns it. What was sent before is delivered first
         * when the close is [orderly], and lost otherwise.
         */
        fun close(orderly: Boolean = false) {
            if (!open) return
            open = false
            delivering = orderly
            time.at(maxOf(lastToEntry, time.now + delay())) { if (Cut.TO_ENTRY !in cuts) entrySide.closed() }
            time.at(maxOf(lastToCompanion, time.now + delay())) {
                if (Cut.TO_COMPANION !in cuts) companionSide.closed()
            }
        }

        private fun carry(moment: Moment, deliver: () -> Unit) {
            time.at(moment) { if (delivering) deliver() }
            if (duplicates && random.nextInt(DUPLICATE_ONE_IN) == 0) time.at(moment) { if (delivering) deliver() }
        }

        private fun delay() = random.nextInt(MAX_DELAY_MICROSECONDS).microseconds
    }

    private companion object {
        const val MAX_DELAY_MICROSECONDS = 2000
        const val DUPLICATE_ONE_IN = 5
    }
}

internal enum class Cut {
    TO_ENTRY,
    TO_COMPANION,
}

/** One end of a connection, as its process sees it. */
internal interface Endpoint {
    fun received(envelope: Envelope)

    fun closed()
}
