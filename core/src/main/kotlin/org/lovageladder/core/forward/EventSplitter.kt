package org.lovageladder.core.forward

import java.io.ByteArrayOutputStream

/** Whole events at the front of a stream, and the number of the last of them that has one. */
internal class WholeEvents(val bytes: ByteArray, val lastEvent: Long?)

/**
 * Cuts a `text/event-stream` at the ends of its events, so that a stream which breaks off within an event can go on
 * with that event from elsewhere. An event ends with an empty line and has [EVENT_BYTES] at most.
 */
internal class EventSplitter {
    private val pending = ByteArrayOutputStream()

    /** Whether an event has become longer than allowed; the stream cannot go on. */
    val overflown: Boolean get() = pending.size() > EVENT_BYTES

    /** Takes [bytes] in; returns the events that are whole now, or null when none is. */
    fun add(bytes: ByteArray): WholeEvents? {
        pending.write(bytes)
        val all = pending.toByteArray()
        val end = endOfEvents(all)
        if (end == 0) return null
        pending.reset()
        pending.write(all, end, all.size - end)
        val whole = all.copyOf(end)
        return WholeEvents(whole, lastEventIn(whole))
    }

    /** Drops what is left of an event that was not completed. */
    fun reset() {
        pending.reset()
    }

    /** What is left after the last whole event. */
    fun rest(): ByteArray = pending.toByteArray()

    private fun endOfEvents(bytes: ByteArray): Int {
        var index = bytes.size - 1
        while (index > 0) {
            if (bytes[index] == NEW_LINE && endsEmptyLine(bytes, index)) return index + 1
            index -= 1
        }
        return 0
    }

    private fun endsEmptyLine(bytes: ByteArray, index: Int): Boolean {
        if (bytes[index - 1] == NEW_LINE) return true
        return index > 1 && bytes[index - 1] == CARRIAGE_RETURN && bytes[index - 2] == NEW_LINE
    }

    private fun lastEventIn(events: ByteArray): Long? {
        val text = String(events, Charsets.ISO_8859_1)
        return ID_LINE.findAll(text).lastOrNull()?.groupValues?.get(1)?.toLongOrNull()
    }

    private companion object {
        const val EVENT_BYTES = 256 * 1024
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val ID_LINE = Regex("(?m)^id: ?(\\d+)\\r?$")
    }
}
