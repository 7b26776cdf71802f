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

private const val MINIMUM_STEPS = 50
private const val MAXIMUM_STEPS = 90

/** Performs [steps] in a new simulation and lets it settle; fails when the oracle finds a violation. */
private fun runSequence(steps: List<FuzzStep>) {
    val simulation = CompanionSimulation(startsReady = steps.first().third % 4 != 0)
    steps.forEach(simulation::perform)
    simulation.settle()
    requireCoverage(simulation.recorded)
}

/** Fails the property when too few of its sequences reach the cases that it tests. */
private fun requireCoverage(recorded: Set<EventKind>) {
    for ((kind, minimum) in MINIMUM_COVERAGE_PERCENT) {
        val statistics = Statistics.label(kind.name)
        statistics.collect(kind in recorded)
        statistics.coverage { it.check(true).percentage(Predicate { percent -> percent >= minimum }) }
    }
}

private val MINIMUM_COVERAGE_PERCENT = mapOf(
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
    .between(0, FuzzStep.codeCount - 1)
    .withDistribution(RandomDistribution.uniform())
    .map(FuzzStep::of)
    .list()
    .ofMinSize(MINIMUM_STEPS)
    .ofMaxSize(MAXIMUM_STEPS)

/** Runs sequences of events against one companion, from a fixed seed. */
class CompanionFuzzTest {
    @Property(tries = 10_000, seed = "20261204", edgeCases = EdgeCasesMode.NONE)
    fun everySequencePassesTheOracle(@ForAll("steps") steps: List<FuzzStep>) = runSequence(steps)

    @Provide
    fun steps(): Arbitrary<List<FuzzStep>> = sequences()
}

/**
 * The same from a new seed, which is printed; not part of the build. Run it with
 * `mvn -pl core -am verify -Dtest=CompanionFreshFuzz -Dsurefire.failIfNoSpecifiedTests=false
 * -Djqwik.tries.default=200000`.
 */
class CompanionFreshFuzz {
    @Property(edgeCases = EdgeCasesMode.NONE)
    fun everySequencePassesTheOracle(@ForAll("steps") steps: List<FuzzStep>) = runSequence(steps)

    @Provide
    fun steps(): Arbitrary<List<FuzzStep>> = sequences()
}
