package org.lovageladder.core.forward

/** Counts the events of a `text/event-stream` by the empty lines that terminate them. */
internal class StreamEventCounter {
    private var isAtLineStart = true

    /** Number of complete events. */
    var count: Int = 0
        private set

    /** Processes the next [bytes] of the stream. */
    fun add(bytes: ByteArray) {
        bytes.forEach { byte ->
            if (byte == CARRIAGE_RETURN) return@forEach
            if (byte == NEW_LINE && isAtLineStart) count += 1
            isAtLineStart = byte == NEW_LINE
        }
    }

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
