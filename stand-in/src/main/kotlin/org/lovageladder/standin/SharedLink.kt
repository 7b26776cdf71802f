package org.lovageladder.standin

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A link of limited rate whose transfers share it evenly.
 *
 * Each transfer sees the same progress, so the link keeps only the bytes that one transfer would have got since the
 * start, and each transfer ends when that count reaches its own mark.
 */
internal class SharedLink(private val thread: EventLoopThread, private val bytesPerSecond: Long) {
    private val transfers = PriorityQueue<LinkTransfer>(compareBy { it.endMark })
    private var bytesPerTransfer = 0.0
    private var countedUntil = ZERO
    private var stallEnds = ZERO
    private var timer: Timer? = null

    /** Starts to move [bytes] and calls [onMoved] when they have passed. */
    fun move(bytes: Long, onMoved: () -> Unit): LinkTransfer {
        advance()
        val transfer = LinkTransfer(bytesPerTransfer + bytes, onMoved)
        transfers.add(transfer)
        reschedule()
        return transfer
    }

    /** Gives the share of [transfer] back; its end is not reported. */
    fun abort(transfer: LinkTransfer) {
        advance()
        transfers.remove(transfer)
        reschedule()
    }

    /** Nothing moves for [duration]. */
    fun stall(duration: Duration) {
        advance()
        stallEnds = thread.now() + duration
        reschedule()
    }

    private fun advance() {
        val now = thread.now()
        val from = maxOf(countedUntil, stallEnds)
        if (transfers.isNotEmpty() && now > from) {
            bytesPerTransfer += (now - from).toDouble(DurationUnit.SECONDS) * bytesPerSecond / transfers.size
        }
        countedUntil = now
    }

    private fun reschedule() {
        timer?.cancel()
        val next = transfers.peek()
        timer = next?.let { thread.after(timeUntil(it)) { finishReached() } }
    }

    private fun timeUntil(transfer: LinkTransfer): Duration {
        val remainingStall = (stallEnds - thread.now()).coerceAtLeast(ZERO)
        val bytes = (transfer.endMark - bytesPerTransfer).coerceAtLeast(0.0) * transfers.size
        return remainingStall + (bytes / bytesPerSecond).seconds
    }

    private fun finishReached() {
        advance()
        val moved = ArrayList<LinkTransfer>()
        while (transfers.isNotEmpty() && transfers.peek().endMark <= bytesPerTransfer + ROUNDING_BYTES) {
            moved.add(transfers.poll())
        }
        reschedule()
        moved.forEach { it.onMoved() }
    }

    private companion object {
        const val ROUNDING_BYTES = 1.0
    }
}

/** A transfer under way on a [SharedLink]. */
internal class LinkTransfer(val endMark: Double, val onMoved: () -> Unit)
