package org.lovageladder.core.forward

import java.io.ByteArrayOutputStream

/**
 * Limits the memory for answers that are received completely before they are passed on: [maximumAnswerBytes] for one
 * answer and [maximumTotalBytes] for all of them. The first [GUARANTEED_BYTES] of every answer are accepted regardless
 * of the total, so that a few endless answers cannot block the others.
 *
 * Load pattern: upstreams that send bytes without end. Confined to one thread.
 */
internal class AnswerBufferPool(private val maximumAnswerBytes: Int, private val maximumTotalBytes: Int) {
    private var usedBytes = 0

    /** Creates an empty buffer for one answer. */
    fun newBuffer(): AnswerBuffer = AnswerBuffer()

    /** The part of one answer body that has been received. */
    inner class AnswerBuffer {
        private var body = ByteArrayOutputStream()

        /** Appends [bytes]. Returns false and appends nothing when a limit would be exceeded. */
        fun append(bytes: ByteArray): Boolean {
            val size = body.size() + bytes.size
            val total = usedBytes + bytes.size
            if (size > maximumAnswerBytes || (size > GUARANTEED_BYTES && total > maximumTotalBytes)) return false
            body.write(bytes)
            usedBytes = total
            return true
        }

        /** Returns the whole body and empties the buffer. */
        fun takeBytes(): ByteArray {
            val whole = body.toByteArray()
            clear()
            return whole
        }

        /** Empties the buffer and releases its memory. */
        fun clear() {
            usedBytes -= body.size()
            body = ByteArrayOutputStream()
        }
    }

    private companion object {
        const val GUARANTEED_BYTES = 16 * 1024
    }
}
