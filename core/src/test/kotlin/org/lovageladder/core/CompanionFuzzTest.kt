package org.lovageladder.core

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import net.jqwik.api.statistics.Statistics
import java.util.function.Predicate

private const val SHORTEST_SEQUENCE = 50
private const val LONGEST_SEQUENCE = 90

/** Takes [steps] in a new world and lets it settle; fails where the oracle sees a promise broken. */
private fun run(steps: List<FuzzStep>) {
    val world = CompanionSimulation(startsReady = steps.first().third % 4 != 0)
    steps.forEach(world::take)
    world.settle()
    requireCoverage(world.recorded)
}

/** Fails the property when too few of its sequences reach the cases that it is about. */
private fun requireCoverage(recorded: Set<EventKind>) {
    for ((kind, least) in LEAST_COVERED_PERCENT) {
        val statistics = Statistics.label(kind.name)
        statistics.collect(kind in recorded)
        statistics.coverage { it.check(true).percentage(Predicate { percent -> percent >= least }) }
    }
}

private val LEAST_COVERED_PERCENT = mapOf(
    EventKind.RESERVATION_GRANTED to 40.0,
    EventKind.RESERVATION_LAPSED to 25.0,
    EventKind.DECODE_FINISHED to 15.0,
    EventKind.PREFILL_READY to 30.0,
    EventKind.PREFILL_WASTED to 8.0,
    EventKind.CANCEL_UNCONFIRMED to 20.0,
    EventKind.ORPHAN_CANCELLED to 15.0,
    EventKind.CLAIM_STARTED to 40.0,
    EventKind.CLAIM_VOIDED to 40.0,
    EventKind.CLAIM_UNKNOWN to 15.0,
    EventKind.PROCESS_STOPPED to 4.0,
)

private fun sequences(): Arbitrary<List<FuzzStep>> = Arbitraries.longs()
    .between(0, FuzzStep.codes - 1)
    .withDistribution(RandomDistribution.uniform())
    .map(FuzzStep::of)
    .list()
    .ofMinSize(SHORTEST_SEQUENCE)
    .ofMaxSize(LONGEST_SEQUENCE)

/** Sequences of events at one companion, from a fixed seed. */
class CompanionFuzzTest {
    @Property(tries = 10_000, seed = "20261204", edgeCases = EdgeCasesMode.NONE)
    fun everySequenceKeepsThePromises(@ForAll("steps") steps: List<FuzzStep>) = run(steps)

    @Provide
    fun steps(): Arbitrary<List<FuzzStep>> = sequences()
}

/**
 * The same from a fresh seed, which is printed; not part of the build. Run it by
 * `mvn -pl core -am verify -Dtest=CompanionFreshFuzz -Dsurefire.failIfNoSpecifiedTests=false
 * -Djqwik.tries.default=200000`.
 */
class CompanionFreshFuzz {
    @Property(edgeCases = EdgeCasesMode.NONE)
    fun everySequenceKeepsThePromises(@ForAll("steps") steps: List<FuzzStep>) = run(steps)

    @Provide
    fun steps(): Arbitrary<List<FuzzStep>> = sequences()
}
