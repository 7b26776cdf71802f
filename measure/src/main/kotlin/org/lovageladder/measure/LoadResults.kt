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
 * Result of a run. [answered] requests have a whole answer of their own; [wrong] an answer that is not. [good]
 * requests are answered with the first token and every gap between tokens within their targets (a lookup: the whole
 * answer within the first-token target). [startLag] is how late the driver itself sent requests.
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

/** Collects the ends of exchanges from any thread. */
internal class LoadResults(private val workload: Workload) {
    private val firstToken = histogram()
    private val tokenGap = histogram()
    private val wholeAnswer = histogram()
    private val refusal = histogram()
    private val startLag = histogram()
    private val refused = ConcurrentHashMap<Int, Int>()
    private val failed = ConcurrentHashMap<String, Int>()
    private val answered = AtomicInteger()
    private val wrong = AtomicInteger()
    private val good = AtomicInteger()
    private val withoutRetryAfter = AtomicInteger()
    private val submitted = AtomicInteger()
    private val running = AtomicInteger()
    private val mostAtOnce = AtomicInteger()

    fun started(lagNanoseconds: Long) {
        record(startLag, lagNanoseconds)
        submitted.incrementAndGet()
        mostAtOnce.accumulateAndGet(running.incrementAndGet(), ::maxOf)
    }

    fun ended(intended: Long, end: ExchangeEnd) {
        running.decrementAndGet()
        when (end) {
            is ExchangeEnd.Answered -> answered(intended, end)
            is ExchangeEnd.Refused -> {
                record(refusal, end.endedAt - intended)
                refused.merge(end.status, 1, Int::plus)
                if (!end.retryAfter) withoutRetryAfter.incrementAndGet()
            }
            is ExchangeEnd.Failed -> failed.merge(end.cause, 1, Int::plus)
        }
    }

    /** Counts a request whose answer did not end in time. */
    fun unfinished() {
        failed.merge("unfinished", 1, Int::plus)
    }

    private fun answered(intended: Long, end: ExchangeEnd.Answered) {
        if (!end.whole) {
            wrong.incrementAndGet()
            return
        }
        answered.incrementAndGet()
        val first = end.arrivals.first() - intended
        val gaps = end.arrivals.zipWithNext { earlier, later -> later - earlier }
        record(firstToken, first)
        gaps.forEach { record(tokenGap, it) }
        record(wholeAnswer, end.endedAt - intended)
        val inTime = first <= workload.firstTokenTarget.inWholeNanoseconds
        val steady = gaps.all { it <= workload.tokenGapTarget.inWholeNanoseconds }
        if (inTime && steady) good.incrementAndGet()
    }

    fun summary(elapsedNanoseconds: Long): LoadSummary {
        val seconds = elapsedNanoseconds / NANOSECONDS_PER_SECOND
        return LoadSummary(
            submitted = submitted.get(),
            answered = answered.get(),
            wrong = wrong.get(),
            refused = refused.toMap(),
            refusedWithoutRetryAfter = withoutRetryAfter.get(),
            failed = failed.toMap(),
            good = good.get(),
            goodPerSecond = good.get() / seconds,
            seconds = seconds,
            mostAtOnce = mostAtOnce.get(),
            firstToken = latency(firstToken),
            tokenGap = latency(tokenGap),
            wholeAnswer = latency(wholeAnswer),
            refusal = latency(refusal),
            startLag = latency(startLag),
        )
    }

    private fun histogram(): Histogram = ConcurrentHistogram(SIGNIFICANT_DIGITS)

    private fun record(histogram: Histogram, nanoseconds: Long) =
        histogram.recordValue((nanoseconds / NANOSECONDS_PER_MICROSECOND).coerceAtLeast(0))

    @Suppress("MagicNumber")
    private fun latency(histogram: Histogram) = Latency(
        count = histogram.totalCount,
        p50 = histogram.getValueAtPercentile(50.0) / MICROSECONDS_PER_MILLISECOND,
        p90 = histogram.getValueAtPercentile(90.0) / MICROSECONDS_PER_MILLISECOND,
        p99 = histogram.getValueAtPercentile(99.0) / MICROSECONDS_PER_MILLISECOND,
        maximum = histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
    )
}

/** The run as a text table. */
internal fun LoadSummary.text(): String {
    val rows = listOf(
        "first token" to firstToken,
        "token gap" to tokenGap,
        "whole answer" to wholeAnswer,
        "refusal" to refusal,
        "start lag" to startLag,
    ).map { (name, latency) ->
        listOf(name, "${latency.count}") + listOf(latency.p50, latency.p90, latency.p99, latency.maximum).map(::decimal)
    }
    return "submitted $submitted, answered $answered, wrong $wrong, good $good (${decimal(goodPerSecond)}/s), " +
        "refused $refused (without Retry-After $refusedWithoutRetryAfter), failed $failed, " +
        "most at once $mostAtOnce, ${decimal(seconds)} s\n" +
        table(listOf("latency", "count", "p50 ms", "p90 ms", "p99 ms", "max ms"), rows)
}

private fun decimal(value: Double): String = decimal(value, 2)
