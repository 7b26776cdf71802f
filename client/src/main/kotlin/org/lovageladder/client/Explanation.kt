package org.lovageladder.client

import kotlinx.serialization.Serializable
import org.lovageladder.core.EventKind
import org.lovageladder.core.EventRecord
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName

/** Explains one request: [course] describes its events in order, [conclusion] its route and how it ended. */
@Serializable
internal data class Explanation(
    val request: RequestId,
    val course: List<String>,
    val conclusion: String,
    val unreachable: List<UnreachableProcess>,
) {
    fun describe(): String = (listOf("request $request") + course.map { "  $it" } + conclusion).joinToString("\n") +
        describeUnreachable(unreachable)
}

/** Explains the request whose events are in [timeline], which must not be empty. */
internal fun explain(timeline: Timeline): Explanation {
    val events = timeline.events
    val request = events.firstNotNullOf { it.request }
    return Explanation(request, events.map { describeEvent(it) }, describeConclusion(events), timeline.unreachable)
}

private fun describeEvent(event: EventRecord): String {
    val upstream = event.upstream?.let { " Upstream $it." }.orEmpty()
    val detail = if (event.detail.isEmpty()) "" else " ${event.detail.trimEnd('.')}."
    return "${formatTime(event.clock)} ${event.process}: ${event.kind.meaning}$upstream$detail"
}

private fun describeConclusion(events: List<EventRecord>): String {
    val finalEvent = events.lastOrNull { isFinalEvent(it.kind) }
    val route = describeRoute(events)
    val detail = finalEvent?.detail?.takeIf { it.isNotEmpty() }?.let { " (${it.trimEnd('.')})" }.orEmpty()
    return when (finalEvent?.kind) {
        EventKind.REQUEST_FINISHED -> "It was answered completely$detail.$route"
        EventKind.REQUEST_REFUSED -> "It was refused$detail.$route"
        EventKind.CALLER_LEFT -> "Its caller disconnected$detail, and its attempts were cancelled.$route"
        else -> "The time lines show no end: it may still be running, or the time line of its entry was not read.$route"
    }
}

private fun isFinalEvent(kind: EventKind): Boolean =
    kind == EventKind.REQUEST_FINISHED || kind == EventKind.REQUEST_REFUSED || kind == EventKind.CALLER_LEFT

private fun describeRoute(events: List<EventRecord>): String {
    val steps = listOf(
        RouteStep("prefill on", findUpstreams(events, EventKind.PREFILL_STARTED)),
        RouteStep("decode on", findUpstreams(events, EventKind.DECODE_STARTED)),
        RouteStep("started once on", findUpstreams(events, EventKind.CLAIM_STARTED)),
    ).filter { it.upstreams.isNotEmpty() }
    val eventCounts = listOf(
        EventCount("retries", events.count { it.kind == EventKind.ATTEMPT_RETRIED }),
        EventCount("hedges", events.count { it.kind == EventKind.ATTEMPT_HEDGED }),
        EventCount("resumed streams", events.count { it.kind == EventKind.STREAM_RESUMED }),
    ).filter { it.count > 0 }
    val route = (steps.map { it.toString() } + eventCounts.map { it.toString() }).joinToString(", ")
    return if (route.isEmpty()) "" else " Route: $route."
}

private data class RouteStep(val name: String, val upstreams: List<UpstreamName>) {
    override fun toString(): String = "$name ${upstreams.joinToString(" then ")}"
}

private data class EventCount(val name: String, val count: Int) {
    override fun toString(): String = "$name: $count"
}

private fun findUpstreams(events: List<EventRecord>, kind: EventKind): List<UpstreamName> =
    events.filter { it.kind == kind }.mapNotNull { it.upstream }.distinct()
