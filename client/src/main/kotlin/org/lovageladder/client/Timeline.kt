package org.lovageladder.client

import kotlinx.serialization.Serializable
import org.lovageladder.core.EventRecord
import org.lovageladder.core.HybridTime
import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

/** Events of several processes in one order, and the processes that did not answer. */
@Serializable
internal data class Timeline(val events: List<EventRecord>, val unreachable: List<Unanswered>) {
    fun describe(): String {
        val headings = listOf("TIME", "PROCESS", "CODE", "EVENT", "REQUEST", "UPSTREAM", "HOST", "NOTE", "DETAIL")
        return Table(headings, events.map { cells(it) }).render() + describeUnreachable(unreachable)
    }

    private fun cells(event: EventRecord): List<String> = listOf(
        describeTime(event.clock),
        event.process.text,
        event.kind.code,
        event.kind.name.lowercase().replace('_', ' '),
        event.request?.text ?: ABSENT,
        event.upstream?.text ?: ABSENT,
        event.host?.text ?: ABSENT,
        event.note?.toString() ?: ABSENT,
        event.detail,
    )
}

/**
 * Merges the events of each process by hybrid time. An event that depends on a message comes after those that its
 * sender recorded before sending, whatever the wall clocks show; the process's name decides between equal times.
 */
internal fun mergeEvents(events: List<List<EventRecord>>, unreachable: List<Unanswered>): Timeline {
    val merged = events.flatten().sortedWith(compareBy({ it.clock }, { it.process.text }))
    return Timeline(merged, unreachable)
}

private val timeFormat = DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC)

/** Time of day in UTC, with the counter of the hybrid clock where it tells events of one millisecond apart. */
internal fun describeTime(time: HybridTime): String {
    val text = timeFormat.format(Instant.ofEpochMilli(time.milliseconds))
    return if (time.counter == 0) text else "$text+${time.counter}"
}
