package org.lovageladder.core.forward

import java.io.ByteArrayOutputStream

/**
 * Memory for answers that are received whole: [each] bytes at most for one answer, [all] for all of them together. The
 * first [SMALL] bytes of an answer are always taken, so that a few endless answers cannot keep out the others. Answers
 * the load pattern of upstreams that send bytes without end. Confined to one thread.
 */
internal class AnswerBuffers(private val each: Int, private val all: Int) {
    private var held = 0

    /** A buffer for one answer. */
    fun open(): AnswerBuffer = AnswerBuffer()

    /** One answer's body so far. */
    inner class AnswerBuffer {
        private var body = ByteArrayOutputStream()

        /** Adds [bytes]; false, and nothing added, when there is no room for them. */
        fun add(bytes: ByteArray): Boolean {
            val size = body.size() + bytes.size
            val shared = held + bytes.size
            if (size > each || (size > SMALL && shared > all)) return false
            body.write(bytes)
            held = shared
            return true
        }

        /** The whole body; the buffer is empty afterwards. */
        fun take(): ByteArray {
            val whole = body.toByteArray()
            drop()
            return whole
        }

        /** Gives the memory back. */
        fun drop() {
            held -= body.size()
            body = ByteArrayOutputStream()
        }
    }

    private companion object {
        const val SMALL = 16 * 1024
    }
}
