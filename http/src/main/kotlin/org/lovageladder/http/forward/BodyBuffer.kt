package org.lovageladder.http.forward

import io.netty.buffer.ByteBuf

/**
 * Collects a body of at most [maximumBytes]. [announcedBytes], null if unknown, are already held by [share]; beyond
 * that the buffer holds what it needs while the body arrives.
 */
internal class BodyBuffer(
    private val share: RequestBufferPool.Share,
    private val maximumBytes: Int,
    announcedBytes: Int?,
) {
    private var bytes = ByteArray(announcedBytes ?: 0)

    /** Bytes received so far. */
    var size: Int = 0
        private set

    /** Copies [content]. Returns false when there is no memory for it. */
    fun append(content: ByteBuf): Boolean {
        val count = content.readableBytes()
        val needed = size + count
        if (needed > bytes.size && !grow(needed)) return false
        content.readBytes(bytes, size, count)
        size = needed
        return true
    }

    /** Returns the body and gives back memory that it does not need. */
    fun takeBytes(): ByteArray {
        val unused = bytes.size - size
        if (unused == 0) return bytes
        share.giveBack(unused)
        return bytes.copyOf(size)
    }

    private fun grow(needed: Int): Boolean {
        val doubled = (bytes.size * 2L).coerceIn(needed.toLong(), maximumBytes.toLong()).toInt()
        val capacity = listOf(doubled, needed).firstOrNull { share.tryHold(it.toLong() - bytes.size) } ?: return false
        bytes = bytes.copyOf(capacity)
        return true
    }
}
