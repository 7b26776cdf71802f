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

/** Answer of an admin route. */
internal data class AdminAnswer(val status: Int, val contentType: String, val body: String)

/** Body of the answers that list events. */
@Serializable
internal data class EventPage(val events: List<EventRecord>)

internal val adminJson: Json = Json { ignoreUnknownKeys = true }

internal const val STATUS_PATH: String = "/v1/status"
internal const val EVENTS_PATH: String = "/v1/events"
internal const val EXPLAIN_PREFIX: String = "/v1/explain/"
internal const val DRAIN_PATH: String = "/v1/drain"
internal const val READY_PATH: String = "/readyz"

/** Answers requests of operators. Its functions block as long as the [admin] does. */
internal class AdminRoutes(private val admin: AdminHandler, private val registry: PrometheusMeterRegistry) {
    fun answer(method: HttpMethod, target: String): AdminAnswer {
        val uri = QueryStringDecoder(target)
        val allowed = if (uri.path() == DRAIN_PATH) HttpMethod.POST else HttpMethod.GET
        return try {
            if (isKnown(uri.path()) && method != allowed) throw InputRejected(wrongMethod(method, allowed, uri.path()))
            route(uri)
        } catch (rejected: InputRejected) {
            val problem = problemOf(rejected.fault, keyed = false)
            AdminAnswer(problem.status, PROBLEM_TYPE, problem.toJson())
        }
    }

    private fun route(uri: QueryStringDecoder): AdminAnswer {
        val path = uri.path()
        return when {
            path == HEALTH_PATH -> AdminAnswer(STATUS_OK, TEXT_TYPE, "ok\n")
            path == READY_PATH -> readiness()
            path == METRICS_PATH -> AdminAnswer(STATUS_OK, PROMETHEUS_TYPE, registry.scrape())
            path == STATUS_PATH -> AdminAnswer(STATUS_OK, JSON_TYPE, admin.statusJson())
            path == EVENTS_PATH -> events(admin.events(filterIn(uri)))
            path == DRAIN_PATH -> drain()
            path.startsWith(EXPLAIN_PREFIX) -> events(admin.explain(requestIn(path)))
            else -> throw InputRejected(unknownPath(path))
        }
    }

    private fun isKnown(path: String) = path in FIXED_PATHS || path.startsWith(EXPLAIN_PREFIX)

    private fun readiness(): AdminAnswer = if (admin.ready()) {
        AdminAnswer(STATUS_OK, TEXT_TYPE, "ready\n")
    } else {
        AdminAnswer(STATUS_UNAVAILABLE, TEXT_TYPE, "not ready\n")
    }

    private fun drain(): AdminAnswer {
        admin.drain()
        return AdminAnswer(STATUS_ACCEPTED, JSON_TYPE, """{"draining":true}""")
    }

    private fun events(events: List<EventRecord>) =
        AdminAnswer(STATUS_OK, JSON_TYPE, adminJson.encodeToString(EventPage(events)))

    private fun requestIn(path: String): RequestId {
        val text = path.removePrefix(EXPLAIN_PREFIX)
        if (text.isEmpty()) throw badField("request", "the path names no request; allowed is ${EXPLAIN_PREFIX}REQUEST")
        return RequestId(text)
    }

    private fun filterIn(uri: QueryStringDecoder): EventFilter {
        val unknown = uri.parameters().keys - FILTER_FIELDS
        if (unknown.isNotEmpty()) {
            val field = unknown.first()
            throw badField(field, "parameter $field is not known; allowed are ${FILTER_FIELDS.joinToString()}")
        }
        return EventFilter(
            request = parameter(uri, "request")?.let { RequestId(it) },
            upstream = parameter(uri, "upstream")?.let { UpstreamName(it) },
            note = number(uri, "note", 0..Long.MAX_VALUE)?.let { ReleaseVersion(it) },
            afterMilliseconds = number(uri, "after", 0..Long.MAX_VALUE),
            limit = number(uri, "limit", 1L..MAXIMUM_LIMIT)?.toInt() ?: EventFilter().limit,
        )
    }

    private fun parameter(uri: QueryStringDecoder, name: String): String? =
        uri.parameters()[name]?.lastOrNull()?.takeIf { it.isNotEmpty() }

    private fun number(uri: QueryStringDecoder, name: String, allowed: LongRange): Long? {
        val text = parameter(uri, name) ?: return null
        val value = text.toLongOrNull()
        if (value == null || value !in allowed) {
            val range = "whole numbers from ${allowed.first} to ${allowed.last}"
            throw badField(name, "parameter $name is '$text', allowed are $range")
        }
        return value
    }

    private fun wrongMethod(method: HttpMethod, allowed: HttpMethod, path: String) = InputFault(
        status = STATUS_METHOD_NOT_ALLOWED,
        name = "wrong-method",
        detail = "method $method is not served at $path; allowed is $allowed",
        field = "method",
    )

    private fun unknownPath(path: String) = InputFault(
        status = STATUS_NOT_FOUND,
        name = "unknown-path",
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
