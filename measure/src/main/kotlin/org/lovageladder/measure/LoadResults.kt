package org.lovageladder.measure

import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val SIGNIFICANT_DIGITS = 3
private const val NANOSECONDS_PER_MICROSECOND = 1_000L
private const val NANOSECONDS_PER_SECOND = 1e9
private const val MICROSECONDS_PER_MILLISECOND = 1_000.0

/** Distribution of a latency in milliseconds. */
@Serializable
internal data class Latency(val count: Long, val p50: Double, val p90: Double, val p99: Double, val maximum: Double)

/**
 * Result of a run. [answered] counts requests with the complete expected answer; [wrong] those with status 200 and
 * another or incomplete answer. [good] counts answered requests whose first token and every gap between tokens were
 * within their targets (for lookups: the answer within the first-token target). [mostAtOnce] is the maximum of requests
 * in flight. [startLag] is the delay between the scheduled time and the sending of requests.
 */
@Serializable
internal data class LoadSummary(
    val submitted: Int,
    val answered: Int,
    val wrong: Int,
    val refused: Map<Int, Int>,
    val refusedWithoutRetryAfter: Int,
    val failed: Map<String, Int>,
    val good: Int,
    val goodPerSecond: Double,
    val seconds: Double,
    val mostAtOnce: Int,
    val firstToken: Latency,
    val tokenGap: Latency,
    val wholeAnswer: Latency,
    val refusal: Latency,
    val startLag: Latency,
)

/** Collects the results of exchanges. May be used on any thread. */
internal class LoadResults(private val workload: Workload) {
    private val firstToken = createHistogram()
    private val tokenGap = createHistogram()
    private val wholeAnswer = createHistogram()
    private val refusal = createHistogram()
    private val startLag = createHistogram()
    private val refused = ConcurrentHashMap<Int, Int>()
    private val failed = ConcurrentHashMap<String, Int>()
    private val answered = AtomicInteger()
    private val wrong = AtomicInteger()
    private val good = AtomicInteger()
    private val refusedWithoutRetryAfter = AtomicInteger()
    private val submitted = AtomicInteger()
    private val inFlight = AtomicInteger()
    private val maximumInFlight = AtomicInteger()

    fun recordStart(lagNanoseconds: Long) {
        recordLatency(startLag, lagNanoseconds)
        submitted.incrementAndGet()
        maximumInFlight.accumulateAndGet(inFlight.incrementAndGet(), ::maxOf)
    }

    fun recordEnd(scheduledAt: Long, result: ExchangeResult) {
        inFlight.decrementAndGet()
        when (result) {
            is ExchangeResult.Answered -> recordAnswer(scheduledAt, result)
            is ExchangeResult.Refused -> {
                recordLatency(refusal, result.endedAt - scheduledAt)
                refused.merge(result.status, 1, Int::plus)
                if (!result.hasRetryAfter) refusedWithoutRetryAfter.incrementAndGet()
            }
            is ExchangeResult.Failed -> failed.merge(result.cause, 1, Int::plus)
        }
    }

    /** Counts a request whose answer was not complete by the drain timeout. */
    fun recordUnfinished() {
        failed.merge("unfinished", 1, Int::plus)
    }

    private fun recordAnswer(scheduledAt: Long, result: ExchangeResult.Answered) {
        if (!result.isCorrect) {
            wrong.incrementAndGet()
            return
        }
        answered.incrementAndGet()
        val firstTokenLatency = result.arrivals.first() - scheduledAt
        val gaps = result.arrivals.zipWithNext { earlier, later -> later - earlier }
        recordLatency(firstToken, firstTokenLatency)
        gaps.forEach { recordLatency(tokenGap, it) }
        recordLatency(wholeAnswer, result.endedAt - scheduledAt)
        val firstTokenOnTime = firstTokenLatency <= workload.firstTokenTarget.inWholeNanoseconds
        val gapsOnTime = gaps.all { it <= workload.tokenGapTarget.inWholeNanoseconds }
        if (firstTokenOnTime && gapsOnTime) good.incrementAndGet()
    }

    fun summary(elapsedNanoseconds: Long): LoadSummary {
        val seconds = elapsedNanoseconds / NANOSECONDS_PER_SECOND
        return LoadSummary(
            submitted = submitted.get(),
            answered = answered.get(),
            wrong = wrong.get(),
            refused = refused.toMap(),
            refusedWithoutRetryAfter = refusedWithoutRetryAfter.get(),
            failed = failed.toMap(),
            good = good.get(),
            goodPerSecond = good.get() / seconds,
            seconds = seconds,
            mostAtOnce = maximumInFlight.get(),
            firstToken = latencyOf(firstToken),
            tokenGap = latencyOf(tokenGap),
            wholeAnswer = latencyOf(wholeAnswer),
            refusal = latencyOf(refusal),
            startLag = latencyOf(startLag),
        )
    }

    private fun createHistogram(): Histogram = ConcurrentHistogram(SIGNIFICANT_DIGITS)

    private fun recordLatency(histogram: Histogram, nanoseconds: Long) =
        histogram.recordValue((nanoseconds / NANOSECONDS_PER_MICROSECOND).coerceAtLeast(0))

    @Suppress("MagicNumber")
    private fun latencyOf(histogram: Histogram) = Latency(
        count = histogram.totalCount,
        p50 = histogram.getValueAtPercentile(50.0) / MICROSECONDS_PER_MILLISECOND,
        p90 = histogram.getValueAtPercentile(90.0) / MICROSECONDS_PER_MILLISECOND,
        p99 = histogram.getValueAtPercentile(99.0) / MICROSECONDS_PER_MILLISECOND,
        maximum = histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
    )
}

/** Formats the results as text. */
internal fun LoadSummary.toText(): String {
    val rows = listOf(
        "first token" to firstToken,
        "token gap" to tokenGap,
        "whole answer" to wholeAnswer,
        "refusal" to refusal,
        "start lag" to startLag,
    ).map { (name, latency) ->
        listOf(name, "${latency.count}") +
            listOf(latency.p50, latency.p90, latency.p99, latency.maximum).map(::formatDecimal)
    }
    return "submitted $submitted, answered $answered, wrong $wrong, good $good (${formatDecimal(goodPerSecond)}/s), " +
        "refused $refused (without Retry-After $refusedWithoutRetryAfter), failed $failed, " +
        "most at once $mostAtOnce, ${formatDecimal(seconds)} s\n" +
        formatTable(listOf("latency", "count", "p50 ms", "p90 ms", "p99 ms", "max ms"), rows)
}

private fun formatDecimal(value: Double): String = formatDecimal(value, 2)
