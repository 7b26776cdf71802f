package org.lovageladder.http

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream
import java.nio.charset.StandardCharsets

/** Splits a byte stream into lines of UTF-8 text. */
internal class LineReader(private val maximumBytes: Int) {
    private val partialLine = ByteArrayOutputStream()

    /** Passes each completed line to [onLine]; throws [IllegalArgumentException] when one exceeds [maximumBytes]. */
    fun read(bytes: ByteBuf, onLine: (String) -> Unit) {
        while (bytes.isReadable) {
            val length = bytes.bytesBefore(LINE_FEED)
            val partLength = if (length < 0) bytes.readableBytes() else length
            require(partialLine.size() + partLength <= maximumBytes) { "a line is longer than $maximumBytes bytes" }
            bytes.readBytes(partialLine, partLength)
            if (length < 0) return
            bytes.skipBytes(1)
            val line = partialLine.toString(StandardCharsets.UTF_8).removeSuffix("\r")
            partialLine.reset()
            onLine(line)
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
    }
}
