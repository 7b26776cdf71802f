package org.lovageladder.daemon

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.EventLevel
import org.lovageladder.core.EventRecord
import org.lovageladder.core.HybridClock
import org.lovageladder.core.ProcessName
import org.tinylog.kotlin.Logger

/**
 * Adds a timestamp to events, keeps them in [ring], counts them as a metric and writes them to the log, at most
 * [maximumLinesPerSecond] of them. The number of dropped lines is logged with the next event of a later second.
 * Confined to the control thread.
 */
internal class EventLog(
    private val process: ProcessName,
    private val clock: HybridClock,
    private val ring: EventRing,
    registry: MeterRegistry,
    private val maximumLinesPerSecond: Int = Int.MAX_VALUE,
) {
    private var currentSecond = 0L
    private var linesInSecond = 0

    private val counters: List<Counter> =
        EventKind.entries.map { kind ->
            Counter.builder("lovageladder.events").tag("code", kind.code).tag("kind", kind.name).register(registry)
        }

    /** Records [draft] as an event that happens now. */
    fun record(draft: EventDraft) {
        val record =
            EventRecord(
                clock = clock.next(),
                process = process,
                kind = draft.kind,
                request = draft.request,
                upstream = draft.upstream,
                host = draft.host,
                note = draft.note,
                detail = draft.detail,
            )
        ring.add(record)
        counters[draft.kind.ordinal].increment()
        if (mayWrite(record.clock.milliseconds / MILLISECONDS_PER_SECOND)) log(record)
    }

    private fun mayWrite(second: Long): Boolean {
        if (second != currentSecond) {
            val dropped = linesInSecond - maximumLinesPerSecond
            if (dropped > 0) Logger.warn { "$dropped log lines were dropped, see /v1/events" }
            currentSecond = second
            linesInSecond = 0
        }
        linesInSecond += 1
        return linesInSecond <= maximumLinesPerSecond
    }

    private fun log(record: EventRecord) {
        when (record.kind.level) {
            EventLevel.DEBUG -> Logger.debug { eventLine(record) }
            EventLevel.INFO -> Logger.info { eventLine(record) }
            EventLevel.WARNING -> Logger.warn { eventLine(record) }
            EventLevel.ERROR -> Logger.error { eventLine(record) }
        }
    }
}

private const val MILLISECONDS_PER_SECOND = 1_000L

/** Formats [record] as one log line: its code and meaning, then its fields as `key=value`. */
internal fun eventLine(record: EventRecord): String = buildString {
    append(record.kind.code).append(' ').append(record.kind.meaning)
    append(" kind=").append(record.kind.name)
    append(" process=").append(record.process)
    record.request?.let { append(" request=").append(it) }
    record.upstream?.let { append(" upstream=").append(it) }
    record.host?.let { append(" host=").append(it) }
    record.note?.let { append(" note=").append(it) }
    if (record.detail.isNotEmpty()) append(" detail=\"").append(sanitized(record.detail)).append('"')
}

/**
 * Replaces double quotes and control characters in [text]: callers choose parts of it and must not forge log fields or
 * lines.
 */
private fun sanitized(text: String): String = text.map { character ->
    when {
        character == '"' -> '\''
        character.isISOControl() -> ' '
        else -> character
    }
}.joinToString("")
