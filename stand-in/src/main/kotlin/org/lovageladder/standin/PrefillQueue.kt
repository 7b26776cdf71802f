package org.lovageladder.standin

import java.util.PriorityQueue
import kotlin.time.Duration.Companion.seconds

/** Runs prefills one at a time, lower priority numbers first, and equal priorities in order of arrival. */
internal class PrefillQueue(
    private val thread: EventLoopThread,
    private val tokensPerSecond: Long,
    private val slowness: Slowness,
) {
    private val waiting = PriorityQueue<QueuedPrefill>(compareBy({ it.priority }, { it.arrival }))
    private var running: QueuedPrefill? = null
    private var timer: Timer? = null
    private var nextArrival = 0L

    /** Total tokens of completed prefills. */
    var prefilledTokens: Long = 0
        private set

    val waitingCount: Int
        get() = waiting.size

    val runningCount: Int
        get() = if (running == null) 0 else 1

    /** Queues a prefill; [tokens] is evaluated when it starts. The returned handle is for [remove]. */
    fun add(priority: Int, tokens: () -> Int, onPrefilled: () -> Unit): QueuedPrefill {
        val prefill = QueuedPrefill(priority, nextArrival++, tokens, onPrefilled)
        waiting.add(prefill)
        startNext()
        return prefill
    }

    /** Removes a waiting or running prefill without calling its callback. */
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
        timer = thread.schedule(slowness.remainingStall() + duration) { finish(next, tokens) }
    }

    private fun finish(prefill: QueuedPrefill, tokens: Int) {
        val stall = slowness.remainingStall()
        if (stall.isPositive()) {
            timer = thread.schedule(stall) { finish(prefill, tokens) }
            return
        }
        prefilledTokens += tokens
        running = null
        startNext()
        prefill.onPrefilled()
    }
}

/** A waiting or running prefill; [arrival] is its sequence number in the queue. */
internal class QueuedPrefill(val priority: Int, val arrival: Long, val tokens: () -> Int, val onPrefilled: () -> Unit)
