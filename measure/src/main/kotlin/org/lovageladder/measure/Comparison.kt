package org.lovageladder.measure

import kotlinx.serialization.Serializable

/** One run of one variant. */
@Serializable
internal data class VariantRun(val variant: String, val round: Int, val summary: LoadSummary)

/** Least, median and greatest of a figure over the rounds. */
@Serializable
internal data class Spread(val minimum: Double, val median: Double, val maximum: Double)

/** A figure of a variant over the rounds, in milliseconds, and its ratio to the first variant in the same round. */
@Serializable
internal data class Comparison(val variant: String, val figure: String, val value: Spread, val ratio: Spread)

/** All runs and what follows from them. */
@Serializable
internal data class ComparisonReport(val comparisons: List<Comparison>, val runs: List<VariantRun>)

private enum class Figure(val title: String, val of: (LoadSummary) -> Double) {
    FIRST_TOKEN_P50("first token p50", { it.firstToken.p50 }),
    FIRST_TOKEN_P99("first token p99", { it.firstToken.p99 }),
    TOKEN_GAP_P50("token gap p50", { it.tokenGap.p50 }),
    TOKEN_GAP_P99("token gap p99", { it.tokenGap.p99 }),
}

/** Compares [runs] of [variants] with those of the first variant, round by round. */
internal fun compare(variants: List<String>, runs: List<VariantRun>): ComparisonReport {
    val comparisons = Figure.entries.flatMap { figure ->
        variants.map { variant -> comparison(figure, variant, variants.first(), runs) }
    }
    return ComparisonReport(comparisons, runs)
}

private fun comparison(figure: Figure, variant: String, first: String, runs: List<VariantRun>): Comparison {
    val values = valuesOf(figure, variant, runs)
    val base = valuesOf(figure, first, runs)
    val ratios = values.zip(base) { value, other -> value / other }.filter { it.isFinite() }
    return Comparison(variant, figure.title, spread(values), spread(ratios))
}

private fun valuesOf(figure: Figure, variant: String, runs: List<VariantRun>): List<Double> =
    runs.filter { it.variant == variant }.sortedBy { it.round }.map { figure.of(it.summary) }

/** Spread of [values]; all zero when there are none. */
internal fun spread(values: List<Double>): Spread {
    if (values.isEmpty()) return Spread(0.0, 0.0, 0.0)
    val sorted = values.sorted()
    val median = (sorted[(sorted.size - 1) / 2] + sorted[sorted.size / 2]) / 2
    return Spread(sorted.first(), median, sorted.last())
}

/** The comparison as a text table. */
internal fun ComparisonReport.text(): String {
    val rows = comparisons.map { listOf(it.figure, it.variant) + cells(it.value) + cells(it.ratio) }
    val header = listOf("figure", "variant", "min ms", "median ms", "max ms", "ratio min", "median", "max")
    val counts = runs.map { run ->
        val summary = run.summary
        "round ${run.round} ${run.variant}: submitted ${summary.submitted}, answered ${summary.answered}, " +
            "wrong ${summary.wrong}, refused ${summary.refused}, failed ${summary.failed}"
    }
    return table(header, rows) + "\n" + counts.joinToString("\n")
}

private fun cells(spread: Spread) = listOf(spread.minimum, spread.median, spread.maximum).map { decimal(it) }
