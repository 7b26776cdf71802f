package org.lovageladder.http

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.lovageladder.core.EventRecord
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName

/** Answer of one admin route, before it is written as HTTP. */
internal data class AdminAnswer(val status: Int, val contentType: String, val body: String)

/** JSON body of the event routes. */
@Serializable
internal data class EventPage(val events: List<EventRecord>)

internal val adminJson: Json = Json { ignoreUnknownKeys = true }

internal const val STATUS_PATH: String = "/v1/status"
internal const val EVENTS_PATH: String = "/v1/events"
internal const val EXPLAIN_PREFIX: String = "/v1/explain/"
internal const val DRAIN_PATH: String = "/v1/drain"
internal const val READY_PATH: String = "/readyz"

/** Routes the requests of operators to [admin]. Calls block while the handler runs. */
internal class AdminRoutes(private val admin: AdminHandler, private val registry: PrometheusMeterRegistry) {
    fun answer(method: HttpMethod, target: String): AdminAnswer {
        val uri = QueryStringDecoder(target)
        val allowed = if (uri.path() == DRAIN_PATH) HttpMethod.POST else HttpMethod.GET
        return try {
            if (isServed(uri.path()) && method != allowed) {
                throw InvalidRequestException(wrongMethod(method, allowed, uri.path()))
            }
            route(uri)
        } catch (invalid: InvalidRequestException) {
            val problem = problemOf(invalid.error, mayHaveKey = false)
            AdminAnswer(problem.status, PROBLEM_TYPE, problem.toJson())
        }
    }

    private fun route(uri: QueryStringDecoder): AdminAnswer {
        val path = uri.path()
        return when {
            path == HEALTH_PATH -> AdminAnswer(STATUS_OK, TEXT_TYPE, "ok\n")
            path == READY_PATH -> readinessAnswer()
            path == METRICS_PATH -> AdminAnswer(STATUS_OK, PROMETHEUS_TYPE, registry.scrape())
            path == STATUS_PATH -> AdminAnswer(STATUS_OK, JSON_TYPE, admin.statusJson())
            path == EVENTS_PATH -> eventPage(admin.events(parseFilter(uri)))
            path == DRAIN_PATH -> startDrain()
            path.startsWith(EXPLAIN_PREFIX) -> eventPage(admin.explain(parseRequestId(path)))
            else -> throw InvalidRequestException(unknownPath(path))
        }
    }

    private fun isServed(path: String) = path in FIXED_PATHS || path.startsWith(EXPLAIN_PREFIX)

    private fun readinessAnswer(): AdminAnswer = if (admin.isReady()) {
        AdminAnswer(STATUS_OK, TEXT_TYPE, "ready\n")
    } else {
        AdminAnswer(STATUS_UNAVAILABLE, TEXT_TYPE, "not ready\n")
    }

    private fun startDrain(): AdminAnswer {
        admin.startDrain()
        return AdminAnswer(STATUS_ACCEPTED, JSON_TYPE, """{"draining":true}""")
    }

    private fun eventPage(events: List<EventRecord>) =
        AdminAnswer(STATUS_OK, JSON_TYPE, adminJson.encodeToString(EventPage(events)))

    private fun parseRequestId(path: String): RequestId {
        val text = path.removePrefix(EXPLAIN_PREFIX)
        if (text.isEmpty()) {
            throw invalidField("request", "the path contains no request; expected ${EXPLAIN_PREFIX}REQUEST")
        }
        return RequestId(text)
    }

    private fun parseFilter(uri: QueryStringDecoder): EventFilter {
        val unknown = uri.parameters().keys - FILTER_FIELDS
        if (unknown.isNotEmpty()) {
            val field = unknown.first()
            throw invalidField(field, "unknown parameter $field; allowed are ${FILTER_FIELDS.joinToString()}")
        }
        return EventFilter(
            request = parameter(uri, "request")?.let { RequestId(it) },
            upstream = parameter(uri, "upstream")?.let { UpstreamName(it) },
            note = longParameter(uri, "note", 0..Long.MAX_VALUE)?.let { ReleaseVersion(it) },
            afterMilliseconds = longParameter(uri, "after", 0..Long.MAX_VALUE),
            limit = longParameter(uri, "limit", 1L..MAXIMUM_LIMIT)?.toInt() ?: EventFilter().limit,
        )
    }

    private fun parameter(uri: QueryStringDecoder, name: String): String? =
        uri.parameters()[name]?.lastOrNull()?.takeIf { it.isNotEmpty() }

    private fun longParameter(uri: QueryStringDecoder, name: String, allowed: LongRange): Long? {
        val text = parameter(uri, name) ?: return null
        val value = text.toLongOrNull()
        if (value == null || value !in allowed) {
            val range = "whole numbers from ${allowed.first} to ${allowed.last}"
            throw invalidField(name, "parameter $name is '$text', allowed are $range")
        }
        return value
    }

    private fun wrongMethod(method: HttpMethod, allowed: HttpMethod, path: String) = RequestError(
        status = STATUS_METHOD_NOT_ALLOWED,
        typeName = "wrong-method",
        detail = "method $method is not served at $path; allowed is $allowed",
        field = "method",
    )

    private fun unknownPath(path: String) = RequestError(
        status = STATUS_NOT_FOUND,
        typeName = "unknown-path",
        detail = "path '$path' is not served; allowed are ${FIXED_PATHS.joinToString()} and ${EXPLAIN_PREFIX}REQUEST",
        field = "path",
    )

    private companion object {
        const val HEALTH_PATH = "/healthz"
        const val METRICS_PATH = "/metrics"
        const val PROMETHEUS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
        const val MAXIMUM_LIMIT = 100_000L
        val FIXED_PATHS = listOf(HEALTH_PATH, READY_PATH, METRICS_PATH, STATUS_PATH, EVENTS_PATH, DRAIN_PATH)
        val FILTER_FIELDS = setOf("request", "upstream", "note", "after", "limit")
    }
}
