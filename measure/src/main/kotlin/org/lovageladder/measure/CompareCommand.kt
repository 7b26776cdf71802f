package org.lovageladder.measure

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.encodeToString
import org.lovageladder.core.Address

/** A variant to measure, at the [address] that requests are sent to. */
private data class Variant(val name: String, val address: Address)

/** Runs variants alternately under the same load and prints their ratios to the first variant. */
internal class CompareCommand : CliktCommand("compare") {
    private val variants by option("--variant", metavar = "NAME=IP:PORT", help = "Variant to measure; two or more.")
        .convert { value -> Variant(value.substringBefore('='), parseAddress(value.substringAfter('=', ""))) }
        .multiple(required = true)
    private val directNames by option("--direct", metavar = "NAME", help = "Variant that is a stand-in; repeatable.")
        .multiple()
    private val rounds by option("--rounds", help = "Runs of each variant (default 5).")
        .int().restrictTo(1..100).default(5)
    private val options by WorkloadOptions()
    private val printJson by option("--json", help = "Print JSON.").flag()

    override fun help(context: Context): String =
        "Measure variants alternately within one run; each round has the same arrival times for all."

    override fun run() {
        validateOptions()
        val runs = (0 until rounds).flatMap { round ->
            variantOrder(round).map { variant -> VariantRun(variant.name, round, measure(variant, round)) }
        }
        val report = compare(variants.map { it.name }, runs)
        echo(if (printJson) reportJson.encodeToString(report) else report.toText())
    }

    private fun validateOptions() {
        val names = variants.map { it.name }
        if (names.distinct().size < 2 || names.distinct().size < names.size) {
            throw UsageError("--variant is $names; allowed: two or more different names")
        }
        val unknownNames = directNames - names.toSet()
        if (unknownNames.isNotEmpty()) throw UsageError("--direct is $unknownNames; allowed: names of variants, $names")
    }

    /** Returns the variants in an order that starts with the next variant in each round. */
    private fun variantOrder(round: Int): List<Variant> {
        val start = round % variants.size
        return variants.drop(start) + variants.take(start)
    }

    private fun measure(variant: Variant, round: Int): LoadSummary {
        val destination = Destination(variant.address, isDirect = variant.name in directNames)
        return LoadDriver(options.workload(round), listOf(destination)).run()
    }
}
