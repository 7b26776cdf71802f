package org.lovageladder.core.world

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** One thing that happens to the world; [which] and [amount] choose among processes, callers, keys and lengths. */
data class Command(val kind: CommandKind, val which: Int, val amount: Int)

enum class CommandKind {
    GENERATION,
    LOOKUP,
    ACTION,
    CALLER_LEAVES,
    ADVANCE,
    KILL_ENTRY,
    KILL_COMPANION,
    STOP_COMPANION,
    STOP_ENTRY,
    LIST_LEAVING,
    START_ALL,
    FREEZE_ENTRY,
    FREEZE_COMPANION,
    WAKE_ALL,
    CUT_TO_ENTRY,
    CUT_TO_COMPANION,
    PARTITION,
    BREAK_CONNECTIONS,
    HEAL,
    DUPLICATE,
    STORE_DOWN,
    STORE_SLOW,
    STORE_LOSES_ANSWERS,
    STORE_OLDER_DATA,
    STORE_WELL,
    UPSTREAM_STALLS,
    UPSTREAM_SLOW,
    UPSTREAM_DROPS_ANSWERS,
    UPSTREAMS_WELL,
    PUBLISH,
}

class WholeSystemFuzzTest : CommandSequences() {
    @Property(seed = "20261204", tries = 10_000, shrinking = ShrinkingMode.BOUNDED)
    fun noPromiseIsBrokenUnderAnySequenceOfFaults(@ForAll("sequences") commands: List<Command>) = check(commands)
}

/** The same with fresh seeds, run by name only; `-Djqwik.tries.default` sets how many sequences. */
class WholeSystemFreshFuzz : CommandSequences() {
    @Property(shrinking = ShrinkingMode.BOUNDED)
    fun noPromiseIsBrokenUnderAnySequenceOfFaults(@ForAll("sequences") commands: List<Command>) = check(commands)
}

/** Draws sequences of commands and runs them. */
abstract class CommandSequences {
    protected fun check(commands: List<Command>) {
        val world = World(commands.hashCode().toLong())
        commands.forEach { run(world, it) }
        world.settle()
        assertEquals(emptyList(), world.oracle.violations)
    }

    @Provide
    fun sequences(): Arbitrary<List<Command>> {
        val kinds = Arbitraries.frequency(*CommandKind.entries.map { weighted(it) }.toTypedArray())
        val numbers = Arbitraries.integers().between(0, 1_000)
        return Combinators.combine(kinds, numbers, numbers).`as`(::Command).list().ofMinSize(50).ofMaxSize(70)
    }

    private fun weighted(kind: CommandKind): net.jqwik.api.Tuple.Tuple2<Int, CommandKind> {
        val weight = when (kind) {
            CommandKind.ADVANCE -> 12
            CommandKind.GENERATION, CommandKind.ACTION -> 6
            CommandKind.LOOKUP, CommandKind.CALLER_LEAVES -> 3
            CommandKind.START_ALL, CommandKind.WAKE_ALL, CommandKind.HEAL -> 2
            CommandKind.STORE_WELL, CommandKind.UPSTREAMS_WELL -> 2
            else -> 1
        }
        return net.jqwik.api.Tuple.of(weight, kind)
    }

    private fun run(world: World, command: Command) {
        val upstream = world.upstreams[command.which % world.upstreams.size]
        val companion = world.companions[command.which % world.companions.size]
        val entry = world.entries[command.which % world.entries.size]
        when (command.kind) {
            CommandKind.GENERATION -> world.generation(command.which, 1 + command.amount % 12)
            CommandKind.LOOKUP -> world.lookup(command.which)
            CommandKind.ACTION -> world.action(command.which, command.amount % 4)
            CommandKind.CALLER_LEAVES -> world.oracle.callers.lastOrNull()?.let(world::leave)
            CommandKind.ADVANCE -> world.advance(lengthOf(command).milliseconds)
            CommandKind.KILL_ENTRY -> entry.kill()
            CommandKind.KILL_COMPANION -> companion.kill()
            CommandKind.STOP_COMPANION -> companion.stop()
            CommandKind.STOP_ENTRY -> entry.stop()
            CommandKind.LIST_LEAVING -> world.hostsListed(companion.host)
            CommandKind.START_ALL -> (world.entries + world.companions).forEach { it.boot() }
            CommandKind.FREEZE_ENTRY -> entry.freeze()
            CommandKind.FREEZE_COMPANION -> companion.freeze()
            CommandKind.WAKE_ALL -> (world.entries + world.companions).forEach { it.wake() }
            CommandKind.CUT_TO_ENTRY -> world.network.cut(Cut.TO_ENTRY, lasting = false)
            CommandKind.CUT_TO_COMPANION -> world.network.cut(Cut.TO_COMPANION, lasting = false)
            CommandKind.PARTITION -> Cut.entries.forEach { world.network.cut(it, lasting = true) }
            CommandKind.BREAK_CONNECTIONS -> world.network.breakAll()
            CommandKind.HEAL -> world.network.heal()
            CommandKind.DUPLICATE -> world.network.duplicates = true
            CommandKind.STORE_DOWN -> world.store.down = true
            CommandKind.STORE_SLOW -> world.store.slow = true
            CommandKind.STORE_LOSES_ANSWERS -> world.store.answersToLose = 1 + command.amount % 3
            CommandKind.STORE_OLDER_DATA -> world.store.hiddenNotes = 1
            CommandKind.STORE_WELL -> storeWell(world)
            CommandKind.UPSTREAM_STALLS -> upstream.stalled = true
            CommandKind.UPSTREAM_SLOW -> upstream.slowFactor = 10
            CommandKind.UPSTREAM_DROPS_ANSWERS -> upstream.answersToDrop = 1 + command.amount % 2
            CommandKind.UPSTREAMS_WELL -> world.upstreams.forEach(::well)
            CommandKind.PUBLISH -> world.publishWorth(1 + command.amount)
        }
    }

    /** Mostly a few milliseconds, so that events cross; at times longer than every bound. */
    private fun lengthOf(command: Command): Int = when (command.which % 10) {
        0 -> 3000 + command.amount * 2
        1, 2 -> command.amount
        else -> command.amount % 30
    }

    private fun storeWell(world: World) {
        world.store.down = false
        world.store.slow = false
        world.store.hiddenNotes = 0
    }

    private fun well(upstream: FakeUpstream) {
        upstream.stalled = false
        upstream.slowFactor = 1
        upstream.answersToDrop = 0
    }
}
