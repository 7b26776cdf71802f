package org.lovageladder.core

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution

private const val SHORTEST_SEQUENCE = 50
private const val LONGEST_SEQUENCE = 90

/** Takes [steps] in a new world and lets it settle; fails where the oracle sees a promise broken. */
private fun run(steps: List<FuzzStep>) {
    val world = CompanionWorld()
    steps.forEach(world::take)
    world.settle()
}

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
