package org.lovageladder.client

import kotlinx.serialization.Serializable
import org.lovageladder.core.EventRecord
import org.lovageladder.core.HybridTime
import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

/** Merged events of several processes, and the processes that did not answer. */
@Serializable
internal data class Timeline(val events: List<EventRecord>, val unreachable: List<UnreachableProcess>) {
    fun describe(): String {
        val headings = listOf("TIME", "PROCESS", "CODE", "EVENT", "REQUEST", "UPSTREAM", "HOST", "NOTE", "DETAIL")
        return Table(headings, events.map { cells(it) }).render() + describeUnreachable(unreachable)
    }

    private fun cells(event: EventRecord): List<String> = listOf(
        formatTime(event.clock),
        event.process.text,
        event.kind.code,
        event.kind.name.lowercase().replace('_', ' '),
        event.request?.text ?: ABSENT_CELL,
        event.upstream?.text ?: ABSENT_CELL,
        event.host?.text ?: ABSENT_CELL,
        event.note?.toString() ?: ABSENT_CELL,
        event.detail,
    )
}

/**
 * Merges the events of several processes by hybrid time. Events caused by a message follow those that its sender
 * recorded before sending it, even if the wall clocks disagree. Equal times are ordered by process name.
 */
internal fun mergeEvents(events: List<List<EventRecord>>, unreachable: List<UnreachableProcess>): Timeline {
    val merged = events.flatten().sortedWith(compareBy({ it.clock }, { it.process.text }))
    return Timeline(merged, unreachable)
}

private val timeFormat = DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC)

/** Formats the time of day in UTC; a counter above 0, which separates events of one millisecond, is appended. */
internal fun formatTime(time: HybridTime): String {
    val text = timeFormat.format(Instant.ofEpochMilli(time.milliseconds))
    return if (time.counter == 0) text else "$text+${time.counter}"
}
