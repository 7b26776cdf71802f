package org.lovageladder.core.forward

import java.io.ByteArrayOutputStream

/**
 * Splits a `text/event-stream` at event boundaries, so that a stream that breaks within an event can be continued with
 * that event by another upstream. An event has at most [MAXIMUM_EVENT_BYTES]. The caller has the events up to [start].
 */
internal class StreamEventSplitter(start: ResumePoint = ResumePoint.Start) {
    private val scanner = EventStreamScanner(start)
    private val incompleteEvent = ByteArrayOutputStream()

    /** Where the stream can be resumed after the events that [append] has returned. */
    val resumePoint: ResumePoint get() = scanner.resumePoint

    /** Whether the current event exceeds the size limit; the stream cannot be continued then. */
    val isEventTooLarge: Boolean get() = incompleteEvent.size() > MAXIMUM_EVENT_BYTES

    /** Appends [bytes]. Returns the bytes of the events that are complete now, or null when there is none. */
    fun append(bytes: ByteArray): ByteArray? {
        val end = endOfLastEvent(bytes)
        incompleteEvent.write(bytes, 0, end)
        val complete = if (end > 0) incompleteEvent.toByteArray() else null
        if (end > 0) incompleteEvent.reset()
        incompleteEvent.write(bytes, end, bytes.size - end)
        return complete
    }

    /** Discards an incomplete event; the next bytes are those of another upstream. */
    fun discardIncomplete() {
        scanner.startStream()
        incompleteEvent.reset()
    }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        var end = 0
        bytes.forEachIndexed { index, byte ->
            scanner.read(byte)
            if (scanner.isBetweenEvents) end = index + 1
        }
        return end
    }

    private companion object {
        const val MAXIMUM_EVENT_BYTES = 256 * 1024
    }
}
