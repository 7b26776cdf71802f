package org.lovageladder.measure

import kotlinx.serialization.Serializable

/**
 * Cost of an idle process at one [size]: companions of an entry, or entries of a companion. Processor times are
 * microseconds, and traffic messages and bytes, per second of virtual time.
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

/** Costs of an idle process at several sizes, and what each further peer adds. */
@Serializable
internal data class IdleSlopes(val costs: List<IdleCost>, val lines: Map<IdleFigure, Line>)

/** Figures of [IdleCost]. */
@Serializable
internal enum class IdleFigure(val title: String, val of: (IdleCost) -> Double) {
    HANDLING("handling us/s", { it.handlingMicroseconds }),
    CODING("coding us/s", { it.codingMicroseconds }),
    MESSAGES_OUT("messages out/s", { it.messagesOut }),
    MESSAGES_IN("messages in/s", { it.messagesIn }),
    BYTES_OUT("bytes out/s", { it.bytesOut }),
    BYTES_IN("bytes in/s", { it.bytesIn }),
    HEAP("heap bytes", { it.heapBytes.toDouble() }),
}

/** Cost of one request at an entry with [companions] companions, from the slope over batches of requests. */
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

/** All costs of one run. */
@Serializable
internal data class SlopeReport(val entry: IdleSlopes, val companion: IdleSlopes, val requests: List<RequestCost>)

/** Fits a line through each figure of [costs]. */
internal fun idleSlopes(costs: List<IdleCost>): IdleSlopes {
    val lines = IdleFigure.entries.associateWith { figure ->
        fitLine(costs.map { Sample(it.size.toDouble(), figure.of(it)) })
    }
    return IdleSlopes(costs, lines)
}

/** The report as text tables. */
internal fun SlopeReport.text(): String = listOf(
    "An idle entry, by companions",
    entry.text(),
    "An idle companion, by entries",
    companion.text(),
    "One request at an entry",
    requestTable(requests),
).joinToString("\n")

private fun IdleSlopes.text(): String {
    val sizes = costs.map { cost -> listOf("${cost.size}") + IdleFigure.entries.map { decimal(it.of(cost)) } }
    val slopes = listOf("slope") + IdleFigure.entries.map { decimal(lines.getValue(it).slope, SLOPE_DIGITS) }
    val intercepts = listOf("at 0") + IdleFigure.entries.map { decimal(lines.getValue(it).intercept) }
    return table(listOf("size") + IdleFigure.entries.map { it.title }, sizes + listOf(slopes, intercepts))
}

private fun requestTable(requests: List<RequestCost>): String = table(
    listOf("kind", "companions", "requests", "handling us", "coding us", "bytes out", "bytes in"),
    requests.map { cost ->
        val figures = listOf(cost.handlingMicroseconds, cost.codingMicroseconds, cost.bytesOut, cost.bytesIn)
        listOf(cost.kind.word, "${cost.companions}", "${cost.requests}") + figures.map { decimal(it) }
    },
)

private const val SLOPE_DIGITS = 3
