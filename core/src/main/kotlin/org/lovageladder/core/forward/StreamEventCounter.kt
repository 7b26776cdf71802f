package org.lovageladder.core.forward

import org.lovageladder.core.FaultCause

/** Failure of an answer that is an event stream and ended within an event, or before its first one. */
internal val STREAM_CUT_OFF =
    CallFailure(FaultCause.CONNECTION_LOST, sent = true, "the stream ended within an event, or had none")

/**
 * Counts the events of a `text/event-stream`, which may be followed by that of another upstream. The rest of a stream
 * [mayBeEmpty].
 */
internal class StreamEventCounter(private var mayBeEmpty: Boolean = false) {
    private val scanner = EventStreamScanner()
    private var countBeforeStream = 0

    /** Number of complete events. */
    val count: Int get() = scanner.eventCount

    /** Number of complete events since [startStream]. */
    val countOfStream: Int get() = count - countBeforeStream

    /** The next bytes are those of another engine's stream, or of the rest of one, which may have no events. */
    fun startStream(isRest: Boolean) {
        mayBeEmpty = isRest
        scanner.startStream()
        countBeforeStream = count
    }

    /**
     * Whether the stream with [head], which ended, broke off: within an event, or before its first one if only the end
     * of its connection ends it.
     */
    fun isCutOff(head: AnswerHead): Boolean {
        val isEmpty = countOfStream == 0 && !mayBeEmpty
        return head.isSuccess && (scanner.isWithinEvent || (head.endsWithConnection && isEmpty))
    }

    /** Processes the next [bytes] of the stream. */
    fun add(bytes: ByteArray): Unit = bytes.forEach(scanner::read)
}
