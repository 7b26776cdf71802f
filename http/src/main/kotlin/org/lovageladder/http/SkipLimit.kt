package org.lovageladder.http

/**
 * Bounds what a peer may write before the answer to a call: interim answers, and answers to other calls that it writes
 * again. Load pattern: a faulty upstream that writes such answers without end, which would keep the event loop busy
 * until the time of the call is over.
 */
internal class SkipLimit {
    private var answers = 0
    private var bytes = 0L

    /** Whether the peer wrote more than a sound one would. */
    val isExceeded: Boolean get() = answers > MAXIMUM_ANSWERS || bytes > MAXIMUM_BYTES

    /** A new call begins. */
    fun restart() {
        answers = 0
        bytes = 0
    }

    /** An answer is skipped. */
    fun addAnswer() {
        answers += 1
    }

    /** [count] bytes of the body of a skipped answer were read. */
    fun addBytes(count: Int) {
        bytes += count
    }

    /** What was skipped, for a log line. */
    fun describe(): String = "$answers other answers with $bytes bytes"

    private companion object {
        const val MAXIMUM_ANSWERS = 64

        /** Holds an answer of the largest usual size that is written again twice. */
        const val MAXIMUM_BYTES = 2L * 1024 * 1024
    }
}
