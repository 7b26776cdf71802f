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

    /** Queues a prefill whose [tokens] are counted when it starts; the returned handle is for [remove]. */
    fun add(priority: Int, tokens: () -> Int, onPrefilled: () -> Unit): QueuedPrefill {
        val prefill = QueuedPrefill(priority, arrivals++, tokens, onPrefilled)
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
        val tokens = next.tokens()
        val duration = (tokens.toDouble() / tokensPerSecond).seconds * slowness.currentFactor()
        timer = thread.after(slowness.remainingStall() + duration) { finish(next, tokens) }
    }

    private fun finish(prefill: QueuedPrefill, tokens: Int) {
        val stall = slowness.remainingStall()
        if (stall.isPositive()) {
            timer = thread.after(stall) { finish(prefill, tokens) }
            return
        }
        tokensTotal += tokens
        running = null
        startNext()
        prefill.onPrefilled()
    }
}

/** A prefill in a [PrefillQueue]. */
internal class QueuedPrefill(val priority: Int, val arrival: Long, val tokens: () -> Int, val onPrefilled: () -> Unit)
