package org.lovageladder.core.forward

import java.io.ByteArrayOutputStream

/** Complete events from a stream, and the `id` of the last one that has an id. */
internal class CompleteEvents(val bytes: ByteArray, val lastEventId: Long?)

/**
 * Splits a `text/event-stream` at event boundaries, so that a stream that breaks within an event can be continued with
 * that event by another upstream. An event ends with an empty line and has at most [MAXIMUM_EVENT_BYTES].
 */
internal class StreamEventSplitter {
    private val buffer = ByteArrayOutputStream()

    /** Whether the current event exceeds the size limit; the stream cannot be continued then. */
    val isEventTooLarge: Boolean get() = buffer.size() > MAXIMUM_EVENT_BYTES

    /** Appends [bytes]. Returns the events that are complete now, or null when there is none. */
    fun append(bytes: ByteArray): CompleteEvents? {
        buffer.write(bytes)
        val all = buffer.toByteArray()
        val end = endOfLastEvent(all)
        if (end == 0) return null
        buffer.reset()
        buffer.write(all, end, all.size - end)
        val complete = all.copyOf(end)
        return CompleteEvents(complete, lastEventIdIn(complete))
    }

    /** Discards an incomplete event. */
    fun discardIncomplete() {
        buffer.reset()
    }

    private fun endOfLastEvent(bytes: ByteArray): Int {
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

    private fun lastEventIdIn(events: ByteArray): Long? {
        val text = String(events, Charsets.ISO_8859_1)
        return ID_LINE.findAll(text).lastOrNull()?.groupValues?.get(1)?.toLongOrNull()
    }

    private companion object {
        const val MAXIMUM_EVENT_BYTES = 256 * 1024
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val ID_LINE = Regex("(?m)^id: ?(\\d+)\\r?$")
    }
}
