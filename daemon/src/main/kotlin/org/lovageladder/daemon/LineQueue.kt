package org.lovageladder.daemon

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Lines on their way to [output], whose reader may stand still: a thread of its own writes them, and at most
 * [maximumBytes] wait for it. Lines beyond that are dropped and counted; when the reader reads on, [describeDropped]
 * makes a line of their number.
 */
internal class LineQueue(
    private val output: OutputStream,
    private val maximumBytes: Int = MAXIMUM_WAITING_BYTES,
    private val describeDropped: (Long) -> String,
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val waiting = ArrayDeque<ByteArray>()
    private var waitingBytes = 0
    private var droppedLines = 0L
    private var isWriting = false

    init {
        thread(name = "log", isDaemon = true) { while (true) write(takeWaiting()) }
    }

    /** Queues [line], which ends without a line feed, or drops it. Never waits for the reader. */
    fun offer(line: String) {
        val bytes = (line + "\n").encodeToByteArray()
        lock.withLock {
            if (waitingBytes + bytes.size > maximumBytes) {
                droppedLines += 1
            } else {
                waiting += bytes
                waitingBytes += bytes.size
                changed.signalAll()
            }
        }
    }

    /** Waits until all lines are written, for at most [limit] since the reader may stand still. */
    fun flush(limit: Duration = FLUSH_LIMIT) {
        var remaining = limit.inWholeNanoseconds
        lock.withLock {
            while ((waiting.isNotEmpty() || isWriting) && remaining > 0) remaining = changed.awaitNanos(remaining)
        }
    }

    private fun takeWaiting(): List<ByteArray> = lock.withLock {
        isWriting = false
        changed.signalAll()
        while (waiting.isEmpty()) changed.await(IDLE_WAIT_SECONDS, TimeUnit.SECONDS)
        isWriting = true
        val lines = waiting.toMutableList()
        if (droppedLines > 0) lines += (describeDropped(droppedLines) + "\n").encodeToByteArray()
        droppedLines = 0
        waiting.clear()
        waitingBytes = 0
        lines
    }

    /** A stream that was closed takes no lines; there is nowhere else to say so. */
    private fun write(lines: List<ByteArray>) {
        try {
            lines.forEach(output::write)
            output.flush()
        } catch (_: IOException) {
            return
        }
    }

    private companion object {
        const val MAXIMUM_WAITING_BYTES = 1024 * 1024
        const val IDLE_WAIT_SECONDS = 60L
        val FLUSH_LIMIT: Duration = 1.seconds
    }
}
