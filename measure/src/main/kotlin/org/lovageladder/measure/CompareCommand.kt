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

/** A variant to measure. */
private data class Variant(val name: String, val address: Address)

/** Runs variants alternately under the same load and prints their ratios to the first. */
internal class CompareCommand : CliktCommand("compare") {
    private val variants by option("--variant", metavar = "NAME=IP:PORT", help = "Variant to measure; two or more.")
        .convert { value -> Variant(value.substringBefore('='), address(value.substringAfter('=', ""))) }
        .multiple(required = true)
    private val direct by option("--direct", metavar = "NAME", help = "Variant that is a stand-in; repeatable.")
        .multiple()
    private val rounds by option("--rounds", help = "Runs of each variant (default 5).")
        .int().restrictTo(1..100).default(5)
    private val options by WorkloadOptions()
    private val json by option("--json", help = "Print JSON.").flag()

    override fun help(context: Context): String =
        "Measure variants alternately within one run; each round has the same arrival times for all."

    override fun run() {
        check()
        val runs = (0 until rounds).flatMap { round ->
            rotated(round).map { variant -> VariantRun(variant.name, round, measure(variant, round)) }
        }
        val report = compare(variants.map { it.name }, runs)
        echo(if (json) reportJson.encodeToString(report) else report.text())
    }

    private fun check() {
        val names = variants.map { it.name }
        if (names.distinct().size < 2 || names.distinct().size < names.size) {
            throw UsageError("--variant gives $names; allowed: two or more different names")
        }
        val unknown = direct - names.toSet()
        if (unknown.isNotEmpty()) throw UsageError("--direct gives $unknown; allowed: names of variants, $names")
    }

    /** Each round begins with another variant. */
    private fun rotated(round: Int): List<Variant> {
        val first = round % variants.size
        return variants.drop(first) + variants.take(first)
    }

    private fun measure(variant: Variant, round: Int): LoadSummary {
        val destination = Destination(variant.address, direct = variant.name in direct)
        return LoadDriver(options.workload(round), listOf(destination)).run()
    }
}
