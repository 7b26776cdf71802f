package org.lovageladder.core.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When the caller of one stream should return after a refusal, before the random spread that keeps callers apart. */
internal class StreamReturnDelay(
    private val context: ForwardContext,
    private val route: Route,
    private val deadlines: RequestDeadlines,
    private val estimates: StreamEstimates,
) {
    /**
     * Returns the delay after a refusal for [reason]. When memory is expected only after [memoryDelay], an early return
     * would end with another refusal.
     */
    fun after(reason: RefusalReason, memoryDelay: Duration? = null): Duration = when {
        reason == RefusalReason.LEAVING -> Duration.ZERO
        memoryDelay != null -> maxOf(memoryDelay, estimates.minimumReturnDelay)
        else -> minimum()
    }

    /**
     * A caller that is refused early is told to return while its target can still be met; a later one when streams that
     * hold memory now have ended.
     */
    private fun minimum(): Duration {
        val slack = deadlines.targetAt - estimates.startupTimeOf(route) - context.now()
        val earlyDelay = slack * EARLY_RETURN_FRACTION
        return if (earlyDelay < MINIMUM_EARLY_RETURN_DELAY || !context.isEnabled(Mechanism.EARLY_RETURN)) {
            estimates.minimumReturnDelay
        } else {
            earlyDelay
        }
    }

    private companion object {
        /**
         * Fraction of the time left to start in time after which an early refused caller returns. The random spread can
         * double it.
         */
        const val EARLY_RETURN_FRACTION = 0.2
        val MINIMUM_EARLY_RETURN_DELAY: Duration = 100.milliseconds
    }
}
