package org.lovageladder.core.forward

import org.lovageladder.core.Moment

/** Why a request may not be sent, and when a trial may show that it does no harm. */
internal data class HeldBack(val reason: RefusalReason, val retryAt: Moment)

/**
 * Decides whether one request may be sent although some of its traits may crash upstreams: it is admitted, held back,
 * or sent once as the trial of its quarantined traits. Confined to one thread.
 */
internal class QuarantineAdmission(
    private val guard: PromptGuard,
    private val request: ForwardRequest,
    private val now: () -> Moment,
) {
    /** Whether the request is a trial, which is sent once, and to one upstream only. */
    var isTrial: Boolean = false
        private set

    /** Decides before the request is first sent. [onDecided] gets why it is held back, or null when it may be sent. */
    fun decide(onDecided: (HeldBack?) -> Unit) {
        when (val verdict = guard.verdict(request)) {
            PromptVerdict.Admitted -> onDecided(null)
            is PromptVerdict.Quarantined -> onDecided(toHeldBack(verdict))
            is PromptVerdict.TrialDue -> guard.claimTrials(verdict.trials, request.id) { isClaimed ->
                isTrial = isClaimed
                onDecided(currentVerdict())
            }
        }
    }

    /** Why the request may not be sent now; null when it may. */
    fun currentVerdict(): HeldBack? {
        if (isTrial) return null
        return when (val verdict = guard.verdict(request)) {
            PromptVerdict.Admitted -> null
            is PromptVerdict.Quarantined -> toHeldBack(verdict)
            is PromptVerdict.TrialDue -> HeldBack(RefusalReason.REQUEST_SUSPECTED, now())
        }
    }

    private fun toHeldBack(verdict: PromptVerdict.Quarantined): HeldBack {
        val reason = if (verdict.isFinal) RefusalReason.REQUEST_QUARANTINED else RefusalReason.REQUEST_SUSPECTED
        return HeldBack(reason, verdict.retryAt)
    }
}
