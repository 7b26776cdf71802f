package org.lovageladder.measure

/** Streams of a span of time that begins [from] milliseconds after the first arrival; tokens are as at its middle. */
internal data class StreamSpan(
    val from: Long,
    val arrived: Int,
    val answered: Int,
    val refusedAtOnce: Int,
    val refusedLater: Int,
    val broken: Int,
    val meanWait: Double,
    val reservedTokens: Long,
    val usedTokens: Long,
    val waiting: Int,
)

/** What the streams of one route asked for and used. */
internal data class RouteSizes(
    val route: String,
    val answered: Int,
    val reservedTokens: Double,
    val usedTokens: Double,
    val outgrown: Int,
)

/** Cuts [streams] into spans of [step] milliseconds. */
internal fun spans(streams: List<EndedStream>, step: Long): List<StreamSpan> {
    if (streams.isEmpty()) return emptyList()
    val begin = streams.minOf { it.arrivedAt }
    val end = streams.maxOf { it.endedAt }
    val tokens = tokensOfAnEvent(streams)
    return (begin..end step step).map { from ->
        val arrived = streams.filter { it.arrivedAt in from until from + step }
        val middle = from + step / 2
        StreamSpan(
            from = from - begin,
            arrived = arrived.size,
            answered = arrived.count { it.answered },
            refusedAtOnce = arrived.count { it.refused && it.took < AT_ONCE },
            refusedLater = arrived.count { it.refused && it.took >= AT_ONCE },
            broken = arrived.count { !it.refused && !it.answered },
            meanWait = arrived.map { it.waited }.average().takeUnless { it.isNaN() } ?: 0.0,
            reservedTokens = streams.filter { it.holds(middle) }.sumOf { it.reserved.toLong() },
            usedTokens = streams.filter { it.holds(middle) }.sumOf { it.usedAt(middle, tokens) },
            waiting = streams.count { middle in it.arrivedAt until it.arrivedAt + it.waited },
        )
    }
}

/** What was asked for and used, by route. */
internal fun sizes(streams: List<EndedStream>): List<RouteSizes> {
    val tokens = tokensOfAnEvent(streams)
    return streams.filter { it.answered }.groupBy { it.route }.toSortedMap().map { (route, answered) ->
        RouteSizes(
            route = route,
            answered = answered.size,
            reservedTokens = answered.map { it.reserved }.average(),
            usedTokens = answered.map { it.prompt + it.events * tokens }.average(),
            outgrown = answered.count { it.prompt + it.events * tokens > it.reserved },
        )
    }
}

/** Callers' estimates are right at the median. */
private fun tokensOfAnEvent(streams: List<EndedStream>): Double {
    val ratios =
        streams
            .filter { it.answered && it.expected != null && it.events > 0 }
            .map { checkNotNull(it.expected).toDouble() / it.events }
            .sorted()
    return if (ratios.isEmpty()) 0.0 else ratios[ratios.size / 2]
}

private fun EndedStream.holds(time: Long) = first != null && time in arrivedAt + waited until endedAt

private fun EndedStream.usedAt(time: Long, tokensOfAnEvent: Double): Long {
    val begun = arrivedAt + checkNotNull(first)
    val share = (time - begun).toDouble() / (endedAt - begun).coerceAtLeast(1)
    return prompt + (share.coerceIn(0.0, 1.0) * events * tokensOfAnEvent).toLong()
}

/** Milliseconds within which a refusal counts as given on arrival. */
private const val AT_ONCE = 5
