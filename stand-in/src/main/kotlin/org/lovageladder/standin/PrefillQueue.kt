package org.lovageladder.standin

import java.util.PriorityQueue
import kotlin.time.Duration.Companion.seconds

/** Runs prefills one at a time, lower priority numbers first, in order of arrival among equals. */
internal class PrefillQueue(
    private val thread: EventLoopThread,
    private val tokensPerSecond: Long,
    private val slowness: Slowness,
) {
    private val waiting = PriorityQueue<QueuedPrefill>(compareBy({ it.priority }, { it.arrival }))
    private var running: QueuedPrefill? = null
    private var timer: Timer? = null
    private var arrivals = 0L

    /** Tokens of all prefills run to their end. */
    var tokensTotal: Long = 0
        private set

    val waitingCount: Int
        get() = waiting.size

    val runningCount: Int
        get() = if (running == null) 0 else 1

    /** Queues a prefill of [tokens]; the returned handle is for [remove]. */
    fun add(tokens: Int, priority: Int, onPrefilled: () -> Unit): QueuedPrefill {
        val prefill = QueuedPrefill(tokens, priority, arrivals++, onPrefilled)
        waiting.add(prefill)
        startNext()
        return prefill
    }

    /** Drops a prefill that waits or runs; its end is not reported. */
    fun remove(prefill: QueuedPrefill) {
        waiting.remove(prefill)
        if (running === prefill) {
            timer?.cancel()
            running = null
            startNext()
        }
    }

    private fun startNext() {
        if (running != null) {
            return
        }
        val next = waiting.poll() ?: return
        running = next
        val duration = (next.tokens.toDouble() / tokensPerSecond).seconds * slowness.currentFactor()
        timer = thread.after(slowness.remainingStall() + duration) { finish(next) }
    }

    private fun finish(prefill: QueuedPrefill) {
        val stall = slowness.remainingStall()
        if (stall.isPositive()) {
            timer = thread.after(stall) { finish(prefill) }
            return
        }
        tokensTotal += prefill.tokens
        running = null
        startNext()
        prefill.onPrefilled()
    }
}

/** A prefill in a [PrefillQueue]. */
internal class QueuedPrefill(val tokens: Int, val priority: Int, val arrival: Long, val onPrefilled: () -> Unit)
