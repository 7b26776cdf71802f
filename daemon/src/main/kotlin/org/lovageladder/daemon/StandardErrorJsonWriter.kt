package org.lovageladder.daemon

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.AbstractWriter

/** Writes each line of the log to standard error as one JSON object. tinylog creates it by its service entry. */
public class StandardErrorJsonWriter(properties: Map<String, String>) : AbstractWriter(properties) {
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
        System.err.println(Json.encodeToString(LogLine.serializer(), line))
    }

    override fun flush(): Unit = System.err.flush()

    override fun close(): Unit = flush()
}

@Serializable
private data class LogLine(val time: String, val level: String, val message: String, val exception: String? = null)
