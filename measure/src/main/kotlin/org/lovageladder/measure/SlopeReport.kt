package org.lovageladder.measure

import kotlinx.serialization.Serializable

/**
 * Cost of an idle process at one [size], the number of companions of an entry or entries of a companion. CPU times (in
 * microseconds), messages and bytes are per second of virtual time.
 */
@Serializable
internal data class IdleCost(
    val size: Int,
    val handlingMicroseconds: Double,
    val codingMicroseconds: Double,
    val messagesOut: Double,
    val messagesIn: Double,
    val bytesOut: Double,
    val bytesIn: Double,
    val heapBytes: Long,
)

/** Costs of an idle process at several sizes, and the line fitted to each figure, whose slope is the cost per peer. */
@Serializable
internal data class IdleSlopes(val costs: List<IdleCost>, val lines: Map<IdleFigure, Line>)

/** A figure of [IdleCost]; its name is a key in the JSON report. */
@Serializable
internal enum class IdleFigure(val title: String, val valueIn: (IdleCost) -> Double) {
    HANDLING("handling us/s", { it.handlingMicroseconds }),
    CODING("coding us/s", { it.codingMicroseconds }),
    MESSAGES_OUT("messages out/s", { it.messagesOut }),
    MESSAGES_IN("messages in/s", { it.messagesIn }),
    BYTES_OUT("bytes out/s", { it.bytesOut }),
    BYTES_IN("bytes in/s", { it.bytesIn }),
    HEAP("heap bytes", { it.heapBytes.toDouble() }),
}

/** Cost of one request at an entry with [companions] companions, as the slope of the cost over batches of requests. */
@Serializable
internal data class RequestCost(
    val kind: RequestKind,
    val companions: Int,
    val requests: Int,
    val handlingMicroseconds: Double,
    val codingMicroseconds: Double,
    val bytesOut: Double,
    val bytesIn: Double,
)

/** Results of the slopes command. */
@Serializable
internal data class SlopeReport(val entry: IdleSlopes, val companion: IdleSlopes, val requests: List<RequestCost>)

/** Fits a line to each figure of [costs]. */
internal fun fitIdleSlopes(costs: List<IdleCost>): IdleSlopes {
    val lines = IdleFigure.entries.associateWith { figure ->
        fitLine(costs.map { Sample(it.size.toDouble(), figure.valueIn(it)) })
    }
    return IdleSlopes(costs, lines)
}

/** Formats the report as text tables. */
internal fun SlopeReport.toText(): String = listOf(
    "An idle entry, by companions",
    entry.toText(),
    "An idle companion, by entries",
    companion.toText(),
    "One request at an entry",
    requestTable(requests),
).joinToString("\n")

private fun IdleSlopes.toText(): String {
    val sizes = costs.map { cost ->
        listOf("${cost.size}") + IdleFigure.entries.map { formatDecimal(it.valueIn(cost)) }
    }
    val slopes = listOf("slope") + IdleFigure.entries.map { formatDecimal(lines.getValue(it).slope, SLOPE_DIGITS) }
    val intercepts = listOf("at 0") + IdleFigure.entries.map { formatDecimal(lines.getValue(it).intercept) }
    return formatTable(listOf("size") + IdleFigure.entries.map { it.title }, sizes + listOf(slopes, intercepts))
}

private fun requestTable(requests: List<RequestCost>): String = formatTable(
    listOf("kind", "companions", "requests", "handling us", "coding us", "bytes out", "bytes in"),
    requests.map { cost ->
        val values = listOf(cost.handlingMicroseconds, cost.codingMicroseconds, cost.bytesOut, cost.bytesIn)
        listOf(cost.kind.label, "${cost.companions}", "${cost.requests}") + values.map { formatDecimal(it) }
    },
)

private const val SLOPE_DIGITS = 3
