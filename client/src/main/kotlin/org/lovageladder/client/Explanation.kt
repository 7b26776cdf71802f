package org.lovageladder.client

import kotlinx.serialization.Serializable
import org.lovageladder.core.EventKind
import org.lovageladder.core.EventRecord
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName

/** Course of one request in sentences, and how it ended. */
@Serializable
internal data class Explanation(
    val request: RequestId,
    val course: List<String>,
    val conclusion: String,
    val unreachable: List<Unanswered>,
) {
    fun describe(): String = (listOf("request $request") + course.map { "  $it" } + conclusion).joinToString("\n") +
        describeUnreachable(unreachable)
}

/** Explains the request whose events [timeline] holds; there must be at least one. */
internal fun explain(timeline: Timeline): Explanation {
    val events = timeline.events
    val request = events.firstNotNullOf { it.request }
    return Explanation(request, events.map { sentence(it) }, conclude(events), timeline.unreachable)
}

private fun sentence(event: EventRecord): String {
    val upstream = event.upstream?.let { " Upstream $it." }.orEmpty()
    val detail = if (event.detail.isEmpty()) "" else " ${event.detail.trimEnd('.')}."
    return "${describeTime(event.clock)} ${event.process}: ${event.kind.meaning}$upstream$detail"
}

private fun conclude(events: List<EventRecord>): String {
    val end = events.lastOrNull { isEnd(it.kind) }
    val route = describeRoute(events)
    val detail = end?.detail?.takeIf { it.isNotEmpty() }?.let { " (${it.trimEnd('.')})" }.orEmpty()
    return when (end?.kind) {
        EventKind.REQUEST_FINISHED -> "It got its whole answer$detail.$route"
        EventKind.REQUEST_REFUSED -> "It was refused$detail.$route"
        EventKind.CALLER_LEFT -> "Its caller went away$detail, and its work was cancelled.$route"
        else -> "The time lines show no end: it may still run, or its entry's time line was not read.$route"
    }
}

private fun isEnd(kind: EventKind): Boolean =
    kind == EventKind.REQUEST_FINISHED || kind == EventKind.REQUEST_REFUSED || kind == EventKind.CALLER_LEFT

private fun describeRoute(events: List<EventRecord>): String {
    val steps = listOf(
        RouteStep("prefill on", upstreamsOf(events, EventKind.PREFILL_STARTED)),
        RouteStep("decode on", upstreamsOf(events, EventKind.DECODE_STARTED)),
        RouteStep("started once on", upstreamsOf(events, EventKind.CLAIM_STARTED)),
    ).filter { it.upstreams.isNotEmpty() }
    val repeats = listOf(
        EventCount("retries", events.count { it.kind == EventKind.ATTEMPT_RETRIED }),
        EventCount("hedges", events.count { it.kind == EventKind.ATTEMPT_HEDGED }),
        EventCount("resumed streams", events.count { it.kind == EventKind.STREAM_RESUMED }),
    ).filter { it.count > 0 }
    val route = (steps.map { it.toString() } + repeats.map { it.toString() }).joinToString(", ")
    return if (route.isEmpty()) "" else " Route: $route."
}

private data class RouteStep(val name: String, val upstreams: List<UpstreamName>) {
    override fun toString(): String = "$name ${upstreams.joinToString(" then ")}"
}

private data class EventCount(val name: String, val count: Int) {
    override fun toString(): String = "$name: $count"
}

private fun upstreamsOf(events: List<EventRecord>, kind: EventKind): List<UpstreamName> =
    events.filter { it.kind == kind }.mapNotNull { it.upstream }.distinct()
