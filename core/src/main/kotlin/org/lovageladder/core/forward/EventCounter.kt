package org.lovageladder.core.forward

/** Counts the events of a `text/event-stream` by the empty lines that end them. */
internal class EventCounter {
    private var atLineStart = true

    /** Events that ended so far. */
    var events: Int = 0
        private set

    /** Takes in the next [bytes] of the stream. */
    fun add(bytes: ByteArray) {
        bytes.forEach { byte ->
            if (byte == CARRIAGE_RETURN) return@forEach
            if (byte == NEW_LINE && atLineStart) events += 1
            atLineStart = byte == NEW_LINE
        }
    }

    private companion object {
        const val NEW_LINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
