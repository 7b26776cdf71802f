package org.lovageladder.http

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream
import java.nio.charset.StandardCharsets

/** Splits a stream of bytes into lines of UTF-8 text. */
internal class LineReader(private val maximumBytes: Int) {
    private val begun = ByteArrayOutputStream()

    /** Hands each line that [bytes] completes to [onLine]; throws [IllegalArgumentException] on one too long. */
    fun read(bytes: ByteBuf, onLine: (String) -> Unit) {
        while (bytes.isReadable) {
            val length = bytes.bytesBefore(LINE_FEED)
            val part = if (length < 0) bytes.readableBytes() else length
            require(begun.size() + part <= maximumBytes) { "a line is longer than $maximumBytes bytes" }
            bytes.readBytes(begun, part)
            if (length < 0) return
            bytes.skipBytes(1)
            val line = begun.toString(StandardCharsets.UTF_8).removeSuffix("\r")
            begun.reset()
            onLine(line)
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
    }
}
