package org.lovageladder.daemon

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Moment
import org.lovageladder.core.Outcome
import org.lovageladder.core.RefusalReason
import org.lovageladder.core.Submission
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * Counts and times callers' requests by service, class and outcome. Names not known to be in the release are recorded
 * as `unknown`, since callers choose them and could create any number of time series. Confined to the control thread.
 */
internal class RequestMeters(private val registry: MeterRegistry) {
    private data class OpenRequest(val service: String, val requestClass: String, val submittedAt: Moment)

    private val openRequests = ConcurrentHashMap<ExchangeId, OpenRequest>()

    init {
        Gauge.builder("lovageladder.requests.open", openRequests) { it.size.toDouble() }.register(registry)
    }

    /** A caller submitted a request. */
    fun onSubmitted(exchange: ExchangeId, submission: Submission, now: Moment) {
        val requestClass = submission.requestClass?.text ?: "default"
        openRequests[exchange] = OpenRequest(submission.service.text, requestClass, now)
    }

    /** A caller disconnected before its outcome. */
    fun onCallerDisconnected(exchange: ExchangeId, now: Moment) {
        val request = openRequests.remove(exchange) ?: return
        recordDuration(request, "left", now)
    }

    /** An outcome was sent to a caller. */
    fun onOutcome(exchange: ExchangeId, outcome: Outcome, now: Moment) {
        val request = openRequests.remove(exchange) ?: return
        when (outcome) {
            is Outcome.Generated -> recordDuration(request, "generated", now)
            is Outcome.Answered -> recordDuration(request, if (outcome.replayed) "replayed" else "answered", now)
            is Outcome.Refused -> recordDuration(withKnownLabels(request, outcome.reason), label(outcome.reason), now)
        }
    }

    private fun withKnownLabels(request: OpenRequest, reason: RefusalReason): OpenRequest = when (reason) {
        RefusalReason.UNKNOWN_SERVICE,
        RefusalReason.NOT_READY,
        RefusalReason.LEAVING,
        -> request.copy(service = UNKNOWN_LABEL, requestClass = UNKNOWN_LABEL)
        RefusalReason.UNKNOWN_CLASS -> request.copy(requestClass = UNKNOWN_LABEL)
        RefusalReason.WRONG_CONTENT,
        RefusalReason.KEY_MISSING,
        RefusalReason.KEY_REUSED,
        RefusalReason.PROMPT_TOO_LARGE,
        RefusalReason.OVERLOADED,
        RefusalReason.NO_UPSTREAM,
        RefusalReason.DEADLINE,
        RefusalReason.STORE_UNAVAILABLE,
        RefusalReason.UPSTREAM_FAILED,
        RefusalReason.IN_PROGRESS,
        -> request
    }

    private fun label(reason: RefusalReason): String = reason.name.lowercase().replace('_', '-')

    private fun recordDuration(request: OpenRequest, outcome: String, now: Moment) {
        Timer.builder("lovageladder.requests")
            .tag("service", request.service)
            .tag("class", request.requestClass)
            .tag("outcome", outcome)
            .register(registry)
            .record((now - request.submittedAt).inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    private companion object {
        const val UNKNOWN_LABEL = "unknown"
    }
}
