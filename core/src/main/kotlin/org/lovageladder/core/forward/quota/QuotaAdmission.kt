package org.lovageladder.core.forward.quota

import org.lovageladder.core.forward.CallerReply
import org.lovageladder.core.forward.Cancellable
import org.lovageladder.core.forward.ForwardFlow
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.Refusal
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.core.forward.RequestHandle
import org.lovageladder.core.forward.customer.Customer
import org.lovageladder.core.forward.customer.QuotaUnit
import kotlin.time.Duration

/** Whether the customer has a quota that can limit it. */
internal val Customer.hasLimit: Boolean get() = quota?.let { it.unitsPerSecond > 0 } ?: false

/**
 * The step of a request before its flow starts: it passes [gate] or is refused. It counts as a flow only while it waits
 * for the owner of the customer's account. [start] starts the flow of the request, and [refuse] refuses it.
 */
internal class QuotaAdmission(
    private val gate: QuotaGate,
    private val request: ForwardRequest,
    private val customer: Customer,
    private val reply: CallerReply,
    private val openFlows: MutableSet<ForwardFlow>,
    private val start: (CallerReply) -> RequestHandle?,
    private val refuse: (RefusalReason, Duration?) -> Unit,
) : ForwardFlow {
    private var wait: Cancellable? = null
    private var isDecided = false
    private var started: RequestHandle? = null

    /** Whether the request was refused. */
    val isRefused: Boolean get() = isDecided && started == null

    override fun start() {
        val quota = checkNotNull(customer.quota)
        openFlows += this
        wait = gate.admit(customer.name, quota, costOf(request, quota.unit), ::onDecision)
    }

    override fun onCallerDisconnected() {
        started?.onCallerDisconnected()
        if (!isDecided) endWait()
    }

    override fun onFinalDeadline() {
        if (isDecided) return
        endWait()
        refuse(RefusalReason.LEAVING, null)
    }

    private fun onDecision(decision: QuotaDecision) {
        isDecided = true
        openFlows -= this
        when (decision) {
            is QuotaDecision.Admitted -> started = start(RefundingReply(reply, decision.giveBack))
            is QuotaDecision.Refused -> refuse(RefusalReason.QUOTA_EXCEEDED, decision.retryAfter)
        }
    }

    private fun endWait() {
        isDecided = true
        openFlows -= this
        wait?.cancel()
    }

    /** Gives the tokens back when the caller is told that the request did not run. */
    private class RefundingReply(private val reply: CallerReply, private val giveBack: () -> Unit) :
        CallerReply by reply {
        override fun refuse(refusal: Refusal) {
            if (refusal.reason.isNotRun) giveBack()
            reply.refuse(refusal)
        }
    }

    internal companion object {
        /** A larger cost could not be counted; no engine has memory for it. */
        private const val MAXIMUM_COST = 1_000_000_000L

        /** What [request] costs of a quota in [unit]. */
        fun costOf(request: ForwardRequest, unit: QuotaUnit): Int = when (unit) {
            QuotaUnit.Requests -> 1
            is QuotaUnit.Tokens -> {
                val generation = request.generation
                val tokens = generation?.run { promptTokens.toLong() + maximumOutputTokens }
                (tokens ?: unit.plainRequestTokens.toLong()).coerceIn(0, MAXIMUM_COST).toInt()
            }
        }
    }
}
