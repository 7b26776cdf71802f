package org.lovageladder.measure

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.time.Instant
import java.time.format.DateTimeParseException

/** A stream as logged at its end. Times are in milliseconds, sizes in tokens; [endedAt] is since the epoch. */
internal data class EndedStream(
    val endedAt: Long,
    val outcome: String,
    val route: String,
    val durationMilliseconds: Int,
    val waitedMilliseconds: Int,
    val firstEventMilliseconds: Int?,
    val callerWaitMilliseconds: Int?,
    val promptTokens: Int,
    val expectedOutputTokens: Int?,
    val reservedTokens: Int,
    val eventCount: Int,
) {
    /** When the request arrived. */
    val arrivedAt: Long get() = endedAt - durationMilliseconds

    /** Whether the caller received the complete stream. */
    val isAnswered: Boolean get() = outcome == "answered"

    /** Whether the caller was refused. */
    val isRefused: Boolean get() = outcome.startsWith("refused")
}

@Serializable
private data class LogLine(val time: String, @SerialName("message") val text: String)

private val logJson = Json { ignoreUnknownKeys = true }
private val fieldPattern = Regex("""(\w+)=(-?\d+|null)(?:ms)?\b""")

/** Parses the ended streams in [lines] of JSON logs, which may have other text before the JSON; ignores other lines. */
internal fun parseEndedStreams(lines: Sequence<String>): List<EndedStream> =
    lines.filter { "LL-3104" in it && " reserved=" in it }.mapNotNull(::parseEndedStream).toList()

private fun parseEndedStream(line: String): EndedStream? = try {
    val logLine = logJson.decodeFromString<LogLine>(line.substring(line.indexOf('{')))
    val detail = logLine.text.substringAfter("detail=\"").trimEnd('"')
    val values = fieldPattern.findAll(detail).associate { it.groupValues[1] to it.groupValues[2].toIntOrNull() }
    EndedStream(
        endedAt = Instant.parse(logLine.time).toEpochMilli(),
        outcome = detail.substringBefore(" route="),
        route = detail.substringAfter(" route=").substringBefore(' '),
        durationMilliseconds = values["took"] ?: 0,
        waitedMilliseconds = values["waited"] ?: 0,
        firstEventMilliseconds = values["first"],
        callerWaitMilliseconds = values["wait"],
        promptTokens = values["prompt"] ?: 0,
        expectedOutputTokens = values["expected"],
        reservedTokens = values["reserved"] ?: 0,
        eventCount = values["events"] ?: 0,
    )
} catch (_: SerializationException) {
    null // The line is incomplete because the process ended while it was written.
} catch (_: DateTimeParseException) {
    null
}
