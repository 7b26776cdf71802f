package org.lovageladder.daemon

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.AbstractFormatPatternWriter
import org.tinylog.writers.AbstractWriter
import java.io.BufferedOutputStream
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.OutputStream
import java.time.Instant

/*
 * Writers of the log. tinylog finds them by their entries in `META-INF/services`. Both write to standard output when
 * the property `stream` is `out`, else to standard error, and never wait for whoever reads it.
 */

/** Writes each log entry as one line of JSON. */
public class JsonLineWriter(properties: Map<String, String>) : AbstractWriter(properties) {
    private val lines = LineQueue(streamOf(properties)) { count ->
        encode(LogLine(Instant.now().toString(), DROPPED_LEVEL, describeDropped(count)))
    }

    override fun getRequiredLogEntryValues(): Collection<LogEntryValue> =
        listOf(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION)

    override fun write(entry: LogEntry) {
        val line =
            LogLine(
                time = entry.timestamp.toInstant().toString(),
                level = entry.level.name,
                message = entry.message.orEmpty(),
                exception = entry.exception?.stackTraceToString(),
            )
        lines.offer(encode(line))
    }

    private fun encode(line: LogLine) = Json.encodeToString(LogLine.serializer(), line)

    override fun flush(): Unit = lines.flush()

    override fun close(): Unit = flush()
}

/** Writes each log entry as text, by the property `format`. */
public class TextLineWriter(properties: Map<String, String>) : AbstractFormatPatternWriter(properties) {
    private val lines = LineQueue(streamOf(properties)) { "${Instant.now()} $DROPPED_LEVEL ${describeDropped(it)}" }

    override fun write(entry: LogEntry): Unit = lines.offer(render(entry).trimEnd('\r', '\n'))

    override fun flush(): Unit = lines.flush()

    override fun close(): Unit = flush()
}

@Serializable
private data class LogLine(val time: String, val level: String, val message: String, val exception: String? = null)

private const val DROPPED_LEVEL = "WARN"

private fun describeDropped(count: Long) = "$count log lines were dropped, since the log was not read; see /v1/events"

private fun streamOf(properties: Map<String, String>): OutputStream {
    val isOutput = properties["stream"] == LogStream.OUTPUT.tinylogName
    return BufferedOutputStream(FileOutputStream(if (isOutput) FileDescriptor.out else FileDescriptor.err))
}
