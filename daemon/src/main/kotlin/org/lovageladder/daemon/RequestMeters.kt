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
 * Counts and times callers' requests by service, class and outcome. Names that no release knows are not taken over
 * into the metrics, since callers choose them. Confined to the control thread.
 */
internal class RequestMeters(private val registry: MeterRegistry) {
    private data class Open(val service: String, val requestClass: String, val begin: Moment)

    private val open = ConcurrentHashMap<ExchangeId, Open>()

    init {
        Gauge.builder("lovageladder.requests.open", open) { it.size.toDouble() }.register(registry)
    }

    /** A caller submitted a request. */
    fun submitted(exchange: ExchangeId, submission: Submission, now: Moment) {
        val requestClass = submission.requestClass?.text ?: "default"
        open[exchange] = Open(submission.service.text, requestClass, now)
    }

    /** A caller went away before its outcome. */
    fun left(exchange: ExchangeId, now: Moment) {
        val request = open.remove(exchange) ?: return
        record(request, "left", now)
    }

    /** A caller was given its outcome. */
    fun ended(exchange: ExchangeId, outcome: Outcome, now: Moment) {
        val request = open.remove(exchange) ?: return
        when (outcome) {
            is Outcome.Generated -> record(request, "generated", now)
            is Outcome.Answered -> record(request, if (outcome.replayed) "replayed" else "answered", now)
            is Outcome.Refused -> record(known(request, outcome.reason), word(outcome.reason), now)
        }
    }

    private fun known(request: Open, reason: RefusalReason): Open = when (reason) {
        RefusalReason.UNKNOWN_SERVICE,
        RefusalReason.NOT_READY,
        RefusalReason.LEAVING,
        -> request.copy(service = UNKNOWN, requestClass = UNKNOWN)
        RefusalReason.UNKNOWN_CLASS -> request.copy(requestClass = UNKNOWN)
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

    private fun word(reason: RefusalReason): String = reason.name.lowercase().replace('_', '-')

    private fun record(request: Open, outcome: String, now: Moment) {
        Timer.builder("lovageladder.requests")
            .tag("service", request.service)
            .tag("class", request.requestClass)
            .tag("outcome", outcome)
            .register(registry)
            .record((now - request.begin).inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    private companion object {
        const val UNKNOWN = "unknown"
    }
}
