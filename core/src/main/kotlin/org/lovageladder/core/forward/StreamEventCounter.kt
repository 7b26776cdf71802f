package org.lovageladder.core.forward

/** Counts the events of a `text/event-stream` by the empty lines that terminate them. */
internal class StreamEventCounter {
    private var isAtLineStart = true

    /** Number of complete events. */
    var count: Int = 0
        private set

    /** Whether an event has begun and not ended. */
    var isWithinEvent: Boolean = false
        private set

    /** The next bytes are those of another engine's stream. */
    fun startStream() {
        isAtLineStart = true
        isWithinEvent = false
    }

    /** Processes the next [bytes] of the stream. */
    fun add(bytes: ByteArray) {
        bytes.forEach { byte ->
            if (byte == CARRIAGE_RETURN) return@forEach
            val endsEvent = byte == NEW_LINE && isAtLineStart
            if (endsEvent) count += 1
            isWithinEvent = !endsEvent
            isAtLineStart = byte == NEW_LINE
        }
    }

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
