package org.lovageladder.standin

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A rate-limited link whose bandwidth is shared equally by its transfers.
 *
 * All transfers progress at the same rate, so the link only counts the bytes that a transfer open since the start would
 * have received. A transfer is complete when that count reaches its [LinkTransfer.endByteCount].
 */
internal class SharedLink(private val thread: EventLoopThread, private val bytesPerSecond: Long) {
    private val transfers = PriorityQueue<LinkTransfer>(compareBy { it.endByteCount })
    private var bytesPerTransfer = 0.0
    private var countedUntil = ZERO
    private var stalledUntil = ZERO
    private var timer: Timer? = null

    /** Starts a transfer of [bytes] and calls [onCompleted] when it is complete. */
    fun startTransfer(bytes: Long, onCompleted: () -> Unit): LinkTransfer {
        advance()
        val transfer = LinkTransfer(bytesPerTransfer + bytes, onCompleted)
        transfers.add(transfer)
        reschedule()
        return transfer
    }

    /** Aborts [transfer] without calling its callback; the other transfers share its bandwidth. */
    fun abort(transfer: LinkTransfer) {
        advance()
        transfers.remove(transfer)
        reschedule()
    }

    /** Stops all transfers for [duration]. */
    fun stall(duration: Duration) {
        advance()
        stalledUntil = thread.now() + duration
        reschedule()
    }

    private fun advance() {
        val now = thread.now()
        val from = maxOf(countedUntil, stalledUntil)
        if (transfers.isNotEmpty() && now > from) {
            bytesPerTransfer += (now - from).toDouble(DurationUnit.SECONDS) * bytesPerSecond / transfers.size
        }
        countedUntil = now
    }

    private fun reschedule() {
        timer?.cancel()
        val next = transfers.peek()
        timer = next?.let { thread.schedule(timeUntil(it)) { completeTransfers() } }
    }

    private fun timeUntil(transfer: LinkTransfer): Duration {
        val remainingStall = (stalledUntil - thread.now()).coerceAtLeast(ZERO)
        val bytes = (transfer.endByteCount - bytesPerTransfer).coerceAtLeast(0.0) * transfers.size
        return remainingStall + (bytes / bytesPerSecond).seconds
    }

    private fun completeTransfers() {
        advance()
        val completed = ArrayList<LinkTransfer>()
        while (transfers.isNotEmpty() && transfers.peek().endByteCount <= bytesPerTransfer + ROUNDING_TOLERANCE_BYTES) {
            completed.add(transfers.poll())
        }
        reschedule()
        completed.forEach { it.onCompleted() }
    }

    private companion object {
        /** Tolerance for floating-point rounding of the byte count. */
        const val ROUNDING_TOLERANCE_BYTES = 1.0
    }
}

/** A transfer in progress on a [SharedLink], complete when the link's byte count reaches [endByteCount]. */
internal class LinkTransfer(val endByteCount: Double, val onCompleted: () -> Unit)
