package org.lovageladder.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Handles one accepted request until its single outcome. */
internal interface RequestFlow : AttemptListener {
    fun begin(now: Moment)

    /** Frees everything that the request holds after its caller disconnected. */
    fun onCallerDisconnected(now: Moment)
}

/** Components of an entry that are shared by the flows of all requests. */
internal class EntryComponents(
    val settings: EntrySettings,
    val output: EntryOutput,
    val timers: Timers,
    val attempts: Attempts,
    val selector: UpstreamSelector,
    val table: UpstreamTable,
    val links: CompanionLinks,
) {
    val retryBudget = ExtraAttemptBudget(settings.retryBudgetRatio)
    val hedgeBudget = ExtraAttemptBudget(settings.hedgeBudgetRatio)
    val claimWriter = ClaimWriter(settings, output)
    private val random = Random(settings.randomSeed)

    /** Adds up to 100% random jitter to [base], so that refused callers don't all retry at once. */
    fun addJitter(base: Duration): Duration = base * (1.0 + random.nextDouble())
}

/** Identity, class and lifecycle of one request. */
internal class RequestContext(
    val exchange: ExchangeId,
    val id: RequestId,
    val service: ReleaseEntry.Service,
    val requestClass: ReleaseEntry.RequestClass,
    private val output: EntryOutput,
    private val onFinished: (ExchangeId) -> Unit,
) {
    private var lastAttemptNumber = 0

    /** Whether the outcome was sent or the caller disconnected. */
    var isFinished: Boolean = false
        private set

    fun nextAttemptId(): AttemptId = AttemptId(id, ++lastAttemptNumber)

    fun record(kind: EventKind, upstream: UpstreamName? = null, detail: String = "") {
        output.record(EventDraft(kind, request = id, upstream = upstream, detail = detail))
    }

    /** Sends the caller its outcome; does nothing when the request is finished. */
    fun finish(outcome: Outcome) {
        if (isFinished) return
        isFinished = true
        when (outcome) {
            is Outcome.Generated, is Outcome.Answered -> record(EventKind.REQUEST_FINISHED)
            is Outcome.Refused -> record(EventKind.REQUEST_REFUSED, detail = refusalDetail(outcome))
        }
        output.add(EntryEffect.SendOutcome(exchange, id, outcome))
        onFinished(exchange)
    }

    /** Finishes the request without an outcome, after its caller disconnected. */
    fun abandon() {
        if (isFinished) return
        isFinished = true
        record(EventKind.CALLER_LEFT)
        onFinished(exchange)
    }
}

internal fun refusalDetail(refused: Outcome.Refused): String = listOfNotNull(
    refused.reason.name,
    refused.execution.name,
    refused.fault?.toString(),
    refused.detail.ifEmpty { null },
).joinToString(" ")

/** Retry delay for refused callers when no estimate is available. */
internal val DEFAULT_RETRY_AFTER: Duration = 500.milliseconds
