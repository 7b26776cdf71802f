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
 * Stamps events, keeps them in [ring], counts them and writes them to the log, at most [linesPerSecond] of them; what
 * was left out is said in the next second. Confined to the control thread.
 */
internal class EventLog(
    private val process: ProcessName,
    private val clock: HybridClock,
    private val ring: EventRing,
    registry: MeterRegistry,
    private val linesPerSecond: Int = Int.MAX_VALUE,
) {
    private var second = 0L
    private var lines = 0

    private val counters: List<Counter> =
        EventKind.entries.map { kind ->
            Counter.builder("lovageladder.events").tag("code", kind.code).tag("kind", kind.name).register(registry)
        }

    /** Records [draft] as an event of now. */
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

    private fun mayWrite(now: Long): Boolean {
        if (now != second) {
            val leftOut = lines - linesPerSecond
            if (leftOut > 0) Logger.warn { "$leftOut lines were left out, see /v1/events" }
            second = now
            lines = 0
        }
        lines += 1
        return lines <= linesPerSecond
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

/** One line for [record]: its code and meaning, then what it concerns as `key=value`. */
internal fun eventLine(record: EventRecord): String = buildString {
    append(record.kind.code).append(' ').append(record.kind.meaning)
    append(" kind=").append(record.kind.name)
    append(" process=").append(record.process)
    record.request?.let { append(" request=").append(it) }
    record.upstream?.let { append(" upstream=").append(it) }
    record.host?.let { append(" host=").append(it) }
    record.note?.let { append(" note=").append(it) }
    if (record.detail.isNotEmpty()) append(" detail=\"").append(quotable(record.detail)).append('"')
}

/** [text] on one line and without double quotes, since callers choose parts of it. */
private fun quotable(text: String): String = text.map { character ->
    when {
        character == '"' -> '\''
        character.isISOControl() -> ' '
        else -> character
    }
}.joinToString("")
