package org.lovageladder.measure

/**
 * Streams in a time interval that starts [startMilliseconds] after the first arrival. Tokens and [waiting] are those in
 * the middle of the interval.
 */
internal data class StreamInterval(
    val startMilliseconds: Long,
    val arrived: Int,
    val answered: Int,
    val refusedImmediately: Int,
    val refusedLater: Int,
    val failed: Int,
    val meanWaitMilliseconds: Double,
    val reservedTokens: Long,
    val usedTokens: Long,
    val waiting: Int,
)

/** Mean tokens that the answered streams of one route reserved and used. */
internal data class RouteSizes(
    val route: String,
    val answered: Int,
    val reservedTokens: Double,
    val usedTokens: Double,
    val exceededReservation: Int,
)

/** Groups [streams] into intervals of [lengthMilliseconds]. */
internal fun intervalsOf(streams: List<EndedStream>, lengthMilliseconds: Long): List<StreamInterval> {
    if (streams.isEmpty()) return emptyList()
    val firstArrival = streams.minOf { it.arrivedAt }
    val lastEnd = streams.maxOf { it.endedAt }
    val tokensPerEvent = estimateTokensPerEvent(streams)
    return (firstArrival..lastEnd step lengthMilliseconds).map { start ->
        val arrived = streams.filter { it.arrivedAt in start until start + lengthMilliseconds }
        val middle = start + lengthMilliseconds / 2
        StreamInterval(
            startMilliseconds = start - firstArrival,
            arrived = arrived.size,
            answered = arrived.count { it.isAnswered },
            refusedImmediately =
            arrived.count { it.isRefused && it.durationMilliseconds < IMMEDIATE_REFUSAL_MILLISECONDS },
            refusedLater = arrived.count { it.isRefused && it.durationMilliseconds >= IMMEDIATE_REFUSAL_MILLISECONDS },
            failed = arrived.count { !it.isRefused && !it.isAnswered },
            meanWaitMilliseconds = arrived.map { it.waitedMilliseconds }.average().takeUnless { it.isNaN() } ?: 0.0,
            reservedTokens = streams.filter { it.holdsMemoryAt(middle) }.sumOf { it.reservedTokens.toLong() },
            usedTokens = streams.filter { it.holdsMemoryAt(middle) }.sumOf { it.usedTokensAt(middle, tokensPerEvent) },
            waiting = streams.count { middle in it.arrivedAt until it.arrivedAt + it.waitedMilliseconds },
        )
    }
}

/** Reserved and used tokens of the answered streams, by route. */
internal fun routeSizes(streams: List<EndedStream>): List<RouteSizes> {
    val tokensPerEvent = estimateTokensPerEvent(streams)
    return streams.filter { it.isAnswered }.groupBy { it.route }.toSortedMap().map { (route, answered) ->
        RouteSizes(
            route = route,
            answered = answered.size,
            reservedTokens = answered.map { it.reservedTokens }.average(),
            usedTokens = answered.map { it.promptTokens + it.eventCount * tokensPerEvent }.average(),
            exceededReservation = answered.count {
                it.promptTokens + it.eventCount * tokensPerEvent > it.reservedTokens
            },
        )
    }
}

/**
 * Estimates the tokens per event as the median over streams of expected output tokens per event: callers' estimates of
 * the output are right at the median.
 */
private fun estimateTokensPerEvent(streams: List<EndedStream>): Double {
    val ratios =
        streams
            .filter { it.isAnswered && it.expectedOutputTokens != null && it.eventCount > 0 }
            .map { checkNotNull(it.expectedOutputTokens).toDouble() / it.eventCount }
            .sorted()
    return if (ratios.isEmpty()) 0.0 else ratios[ratios.size / 2]
}

private fun EndedStream.holdsMemoryAt(time: Long) =
    firstEventMilliseconds != null && time in arrivedAt + waitedMilliseconds until endedAt

private fun EndedStream.usedTokensAt(time: Long, tokensPerEvent: Double): Long {
    val firstEventAt = arrivedAt + checkNotNull(firstEventMilliseconds)
    val progress = (time - firstEventAt).toDouble() / (endedAt - firstEventAt).coerceAtLeast(1)
    return promptTokens + (progress.coerceIn(0.0, 1.0) * eventCount * tokensPerEvent).toLong()
}

/** A refusal in less time than this counts as given on arrival. */
private const val IMMEDIATE_REFUSAL_MILLISECONDS = 5
