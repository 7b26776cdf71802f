package org.lovageladder.daemon

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.AbstractWriter

/**
 * Writes each log entry as one line of JSON, to standard output when the property `stream` is `out`, else to standard
 * error. tinylog finds the class by its entry in `META-INF/services`.
 */
public class JsonLineWriter(properties: Map<String, String>) : AbstractWriter(properties) {
    private val stream = if (properties["stream"] == LogStream.OUTPUT.tinylogName) System.out else System.err

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
        stream.println(Json.encodeToString(LogLine.serializer(), line))
    }

    override fun flush(): Unit = stream.flush()

    override fun close(): Unit = flush()
}

@Serializable
private data class LogLine(val time: String, val level: String, val message: String, val exception: String? = null)
