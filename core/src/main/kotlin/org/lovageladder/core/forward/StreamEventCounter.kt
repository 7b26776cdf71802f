package org.lovageladder.core.forward

import org.lovageladder.core.FaultCause

/** Failure of an answer that is an event stream and ended within an event, or before its first one. */
internal val STREAM_CUT_OFF =
    CallFailure(FaultCause.CONNECTION_LOST, sent = true, "the stream ended within an event, or had none")

/** Counts the events of a `text/event-stream` by the empty lines that terminate them. */
internal class StreamEventCounter {
    private var isAtLineStart = true
    private var countBeforeStream = 0
    private var mayBeEmpty = false

    /** Number of complete events. */
    var count: Int = 0
        private set

    /** Number of complete events since [startStream]. */
    val countOfStream: Int get() = count - countBeforeStream

    /** Whether an event has begun and not ended. */
    var isWithinEvent: Boolean = false
        private set

    /** The next bytes are those of another engine's stream, or of the rest of one, which may have no events. */
    fun startStream(isRest: Boolean) {
        mayBeEmpty = isRest
        isAtLineStart = true
        isWithinEvent = false
        countBeforeStream = count
    }

    /**
     * Whether the stream with [head], which ended, broke off: within an event, or before its first one if only the end
     * of its connection ends it.
     */
    fun isCutOff(head: AnswerHead): Boolean {
        val isEmpty = countOfStream == 0 && !mayBeEmpty
        return head.isSuccess && (isWithinEvent || (head.endsWithConnection && isEmpty))
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
