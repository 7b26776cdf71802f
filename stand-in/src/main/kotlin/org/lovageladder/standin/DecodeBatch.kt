package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO

/**
 * Continuous batching: each step produces one token for every call in the batch, and calls are added and removed
 * between steps. The interval between steps grows with the number of calls.
 */
internal class DecodeBatch(
    private val thread: EventLoopThread,
    private val settings: EngineSettings,
    private val slowness: Slowness,
    private val onFinished: (EngineCall) -> Unit,
) {
    private val calls = LinkedHashSet<EngineCall>()
    private var nextStep: Timer? = null
    private var nextStepAt = ZERO

    /** Output tokens produced so far. */
    var producedTokens: Long = 0
        private set

    val size: Int
        get() = calls.size

    fun add(call: EngineCall) {
        calls.add(call)
        if (nextStep == null) {
            nextStepAt = thread.now() + stepInterval()
            scheduleStep()
        }
    }

    fun remove(call: EngineCall) {
        calls.remove(call)
    }

    private fun stepInterval(): Duration {
        val normalInterval = settings.baseTokenGap + settings.tokenGapPerRunning * (calls.size - 1).coerceAtLeast(0)
        return normalInterval * slowness.currentFactor()
    }

    private fun scheduleStep() {
        nextStep = thread.schedule(nextStepAt - thread.now()) { step() }
    }

    private fun step() {
        val stall = slowness.remainingStall()
        if (calls.isEmpty()) {
            nextStep = null
            return
        }
        if (stall.isPositive()) {
            nextStepAt = thread.now() + stall
            scheduleStep()
            return
        }
        calls.toList().forEach { produceToken(it) }
        nextStepAt = maxOf(nextStepAt + stepInterval(), thread.now())
        scheduleStep()
    }

    private fun produceToken(call: EngineCall) {
        call.writer.writeToken(call.nextTokenIndex)
        call.nextTokenIndex++
        producedTokens++
        if (call.nextTokenIndex >= call.request.maximumTokens) {
            calls.remove(call)
            onFinished(call)
        }
    }
}
