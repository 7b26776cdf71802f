package org.lovageladder.core

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Course of one accepted request, from its admission to its one outcome. */
internal interface RequestFlow : AttemptOwner {
    fun begin(now: Moment)

    /** Frees everything that the request holds; its caller is gone. */
    fun callerLeft(now: Moment)
}

/** What the course of a request needs of its entry. */
internal class EntryWork(
    val settings: EntrySettings,
    val output: EntryOutput,
    val timers: Timers,
    val attempts: Attempts,
    val choice: UpstreamChoice,
    val table: UpstreamTable,
    val links: CompanionLinks,
) {
    val retries = WorkBudget(settings.retryBudgetRatio)
    val hedges = WorkBudget(settings.hedgeBudgetRatio)
    val claims = ClaimWriter(settings, output)
    private val random = Random(settings.randomSeed)

    /** [base] spread by a random part, so that refused callers don't come back together. */
    fun spread(base: Duration): Duration = base * (1.0 + random.nextDouble())
}

/** What a request is, for its whole course. */
internal class RequestContext(
    val exchange: ExchangeId,
    val id: RequestId,
    val service: ReleaseEntry.Service,
    val requestClass: ReleaseEntry.RequestClass,
    private val output: EntryOutput,
    private val finished: (ExchangeId) -> Unit,
) {
    private var lastAttempt = 0

    /** Whether the outcome was given or the caller is gone. */
    var over: Boolean = false
        private set

    fun nextAttempt(): AttemptId = AttemptId(id, ++lastAttempt)

    fun record(kind: EventKind, upstream: UpstreamName? = null, detail: String = "") {
        output.record(EventDraft(kind, request = id, upstream = upstream, detail = detail))
    }

    /** Gives the caller its outcome; does nothing when the request is over. */
    fun give(outcome: Outcome) {
        if (over) return
        over = true
        when (outcome) {
            is Outcome.Generated, is Outcome.Answered -> record(EventKind.REQUEST_FINISHED)
            is Outcome.Refused -> record(EventKind.REQUEST_REFUSED, detail = refusalDetail(outcome))
        }
        output.add(EntryEffect.GiveOutcome(exchange, id, outcome))
        finished(exchange)
    }

    /** Ends the request without an outcome, since nobody is there to receive it. */
    fun abandon() {
        if (over) return
        over = true
        record(EventKind.CALLER_LEFT)
        finished(exchange)
    }
}

internal fun refusalDetail(refused: Outcome.Refused): String = listOfNotNull(
    refused.reason.name,
    refused.execution.name,
    refused.fault?.toString(),
    refused.detail.ifEmpty {
        null
    },
)
    .joinToString(" ")

/** Time after which a refused caller may come back when nothing better is known. */
internal val DEFAULT_RETRY_AFTER: Duration = 500.milliseconds
