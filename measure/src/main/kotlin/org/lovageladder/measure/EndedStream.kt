package org.lovageladder.measure

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.time.Instant
import java.time.format.DateTimeParseException

/** A stream as the line that tells its end has it. Times are in milliseconds; sizes are in tokens. */
internal data class EndedStream(
    val endedAt: Long,
    val outcome: String,
    val route: String,
    val took: Int,
    val waited: Int,
    val first: Int?,
    val callerWait: Int?,
    val prompt: Int,
    val expected: Int?,
    val reserved: Int,
    val events: Int,
) {
    /** When the request arrived. */
    val arrivedAt: Long get() = endedAt - took

    /** Whether the caller got the whole stream. */
    val answered: Boolean get() = outcome == "answered"

    /** Whether the caller was turned away. */
    val refused: Boolean get() = outcome.startsWith("refused")
}

@Serializable
private data class LogLine(val time: String, @SerialName("message") val text: String)

private val logJson = Json { ignoreUnknownKeys = true }
private val field = Regex("""(\w+)=(-?\d+|null)(?:ms)?\b""")

/** Reads the ends of streams from [lines] of JSON logs, which may stand behind other text; passes other lines over. */
internal fun endedStreams(lines: Sequence<String>): List<EndedStream> =
    lines.filter { "LL-3104" in it && " reserved=" in it }.mapNotNull(::endedStream).toList()

private fun endedStream(line: String): EndedStream? = try {
    val entry = logJson.decodeFromString<LogLine>(line.substring(line.indexOf('{')))
    val detail = entry.text.substringAfter("detail=\"").trimEnd('"')
    val figures = field.findAll(detail).associate { it.groupValues[1] to it.groupValues[2].toIntOrNull() }
    EndedStream(
        endedAt = Instant.parse(entry.time).toEpochMilli(),
        outcome = detail.substringBefore(" route="),
        route = detail.substringAfter(" route=").substringBefore(' '),
        took = figures["took"] ?: 0,
        waited = figures["waited"] ?: 0,
        first = figures["first"],
        callerWait = figures["wait"],
        prompt = figures["prompt"] ?: 0,
        expected = figures["expected"],
        reserved = figures["reserved"] ?: 0,
        events = figures["events"] ?: 0,
    )
} catch (_: SerializationException) {
    null // A line cut off by the end of a process.
} catch (_: DateTimeParseException) {
    null
}
