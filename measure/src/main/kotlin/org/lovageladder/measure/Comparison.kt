package org.lovageladder.measure

import kotlinx.serialization.Serializable

/** Result of one variant in one round. */
@Serializable
internal data class VariantRun(val variant: String, val round: Int, val summary: LoadSummary)

/** Minimum, median and maximum of a figure over the rounds. */
@Serializable
internal data class Spread(val minimum: Double, val median: Double, val maximum: Double)

/** A figure of a variant over the rounds, in milliseconds, and its ratio to the first variant in the same round. */
@Serializable
internal data class Comparison(val variant: String, val figure: String, val value: Spread, val ratio: Spread)

/** All runs and their comparisons. */
@Serializable
internal data class ComparisonReport(val comparisons: List<Comparison>, val runs: List<VariantRun>)

private enum class Figure(val title: String, val valueIn: (LoadSummary) -> Double) {
    FIRST_TOKEN_P50("first token p50", { it.firstToken.p50 }),
    FIRST_TOKEN_P99("first token p99", { it.firstToken.p99 }),
    TOKEN_GAP_P50("token gap p50", { it.tokenGap.p50 }),
    TOKEN_GAP_P99("token gap p99", { it.tokenGap.p99 }),
}

/** Compares [runs] of [variants] with those of the first variant, round by round. */
internal fun compare(variants: List<String>, runs: List<VariantRun>): ComparisonReport {
    val comparisons = Figure.entries.flatMap { figure ->
        variants.map { variant -> comparisonOf(figure, variant, variants.first(), runs) }
    }
    return ComparisonReport(comparisons, runs)
}

private fun comparisonOf(figure: Figure, variant: String, baseline: String, runs: List<VariantRun>): Comparison {
    val values = valuesOf(figure, variant, runs)
    val baselineValues = valuesOf(figure, baseline, runs)
    val ratios = values.zip(baselineValues) { value, baselineValue -> value / baselineValue }.filter { it.isFinite() }
    return Comparison(variant, figure.title, spreadOf(values), spreadOf(ratios))
}

private fun valuesOf(figure: Figure, variant: String, runs: List<VariantRun>): List<Double> =
    runs.filter { it.variant == variant }.sortedBy { it.round }.map { figure.valueIn(it.summary) }

/** Spread of [values]; all zero when there are none. */
internal fun spreadOf(values: List<Double>): Spread {
    if (values.isEmpty()) return Spread(0.0, 0.0, 0.0)
    val sorted = values.sorted()
    val median = (sorted[(sorted.size - 1) / 2] + sorted[sorted.size / 2]) / 2
    return Spread(sorted.first(), median, sorted.last())
}

/** Formats the report as a text table. */
internal fun ComparisonReport.toText(): String {
    val rows = comparisons.map { listOf(it.figure, it.variant) + spreadCells(it.value) + spreadCells(it.ratio) }
    val header = listOf("figure", "variant", "min ms", "median ms", "max ms", "ratio min", "median", "max")
    val countLines = runs.map { run ->
        val summary = run.summary
        "round ${run.round} ${run.variant}: submitted ${summary.submitted}, answered ${summary.answered}, " +
            "wrong ${summary.wrong}, refused ${summary.refused}, failed ${summary.failed}"
    }
    return formatTable(header, rows) + "\n" + countLines.joinToString("\n")
}

private fun spreadCells(spread: Spread) = listOf(spread.minimum, spread.median, spread.maximum).map {
    formatDecimal(it)
}
