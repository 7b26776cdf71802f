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

/** One step of a simulation; [selection] and [amount] choose processes, keys, lengths and durations. */
data class Command(val kind: CommandKind, val selection: Int, val amount: Int)

enum class CommandKind {
    GENERATION,
    IDEMPOTENT_CALL,
    NON_IDEMPOTENT_CALL,
    CALLER_DISCONNECTS,
    ADVANCE,
    KILL_ENTRY,
    KILL_COMPANION,
    STOP_COMPANION,
    STOP_ENTRY,
    LIST_LEAVING,
    START_ALL,
    FREEZE_ENTRY,
    FREEZE_COMPANION,
    UNFREEZE_ALL,
    BLOCK_TO_ENTRY,
    BLOCK_TO_COMPANION,
    PARTITION,
    CLOSE_CONNECTIONS,
    REMOVE_NETWORK_FAULTS,
    DUPLICATE_MESSAGES,
    STORE_DOWN,
    STORE_SLOW,
    STORE_LOSES_ANSWERS,
    STORE_READS_STALE,
    STORE_REPAIRED,
    UPSTREAM_STALLS,
    UPSTREAM_SLOW,
    UPSTREAM_DROPS_ANSWERS,
    UPSTREAMS_REPAIRED,
    PUBLISH,
}

class WholeSystemFuzzTest : CommandSequenceProperty() {
    @Property(seed = "20261204", tries = 10_000, shrinking = ShrinkingMode.BOUNDED)
    fun invariantsHoldUnderAnySequenceOfFaults(@ForAll("sequences") commands: List<Command>) = runAndCheck(commands)
}

/** The same property with random seeds, run only by name; `-Djqwik.tries.default` sets the number of sequences. */
class WholeSystemFreshFuzz : CommandSequenceProperty() {
    @Property(shrinking = ShrinkingMode.BOUNDED)
    fun invariantsHoldUnderAnySequenceOfFaults(@ForAll("sequences") commands: List<Command>) = runAndCheck(commands)
}

/** Generates sequences of commands, runs them and checks the guarantees at the end. */
abstract class CommandSequenceProperty {
    protected fun runAndCheck(commands: List<Command>) {
        val system = SimulatedSystem(commands.hashCode().toLong())
        commands.forEach { execute(system, it) }
        system.endFaultsAndCheck()
        assertEquals(emptyList(), system.oracle.violations)
    }

    @Provide
    fun sequences(): Arbitrary<List<Command>> {
        val kinds = Arbitraries.frequency(*CommandKind.entries.map { weightOf(it) }.toTypedArray())
        val numbers = Arbitraries.integers().between(0, 1_000)
        return Combinators.combine(kinds, numbers, numbers).`as`(::Command).list().ofMinSize(50).ofMaxSize(70)
    }

    private fun weightOf(kind: CommandKind): net.jqwik.api.Tuple.Tuple2<Int, CommandKind> {
        val weight = when (kind) {
            CommandKind.ADVANCE -> 12
            CommandKind.GENERATION, CommandKind.NON_IDEMPOTENT_CALL -> 6
            CommandKind.IDEMPOTENT_CALL, CommandKind.CALLER_DISCONNECTS -> 3
            CommandKind.START_ALL, CommandKind.UNFREEZE_ALL, CommandKind.REMOVE_NETWORK_FAULTS -> 2
            CommandKind.STORE_REPAIRED, CommandKind.UPSTREAMS_REPAIRED -> 2
            else -> 1
        }
        return net.jqwik.api.Tuple.of(weight, kind)
    }

    private fun execute(system: SimulatedSystem, command: Command) {
        val upstream = system.upstreams[command.selection % system.upstreams.size]
        val companion = system.companions[command.selection % system.companions.size]
        val entry = system.entries[command.selection % system.entries.size]
        when (command.kind) {
            CommandKind.GENERATION -> system.submitGeneration(command.selection, 1 + command.amount % 12)
            CommandKind.IDEMPOTENT_CALL -> system.submitIdempotentCall(command.selection)
            CommandKind.NON_IDEMPOTENT_CALL -> system.submitNonIdempotentCall(command.selection, command.amount % 4)
            CommandKind.CALLER_DISCONNECTS -> system.oracle.callers.lastOrNull()?.let(system::disconnect)
            CommandKind.ADVANCE -> system.advance(advanceMilliseconds(command).milliseconds)
            CommandKind.KILL_ENTRY -> entry.kill()
            CommandKind.KILL_COMPANION -> companion.kill()
            CommandKind.STOP_COMPANION -> companion.requestStop()
            CommandKind.STOP_ENTRY -> entry.requestStop()
            CommandKind.LIST_LEAVING -> system.listHostAsLeaving(companion.host)
            CommandKind.START_ALL -> (system.entries + system.companions).forEach { it.start() }
            CommandKind.FREEZE_ENTRY -> entry.freeze()
            CommandKind.FREEZE_COMPANION -> companion.freeze()
            CommandKind.UNFREEZE_ALL -> (system.entries + system.companions).forEach { it.unfreeze() }
            CommandKind.BLOCK_TO_ENTRY -> system.network.block(Direction.TO_ENTRY, alsoNewConnections = false)
            CommandKind.BLOCK_TO_COMPANION -> system.network.block(Direction.TO_COMPANION, alsoNewConnections = false)
            CommandKind.PARTITION -> Direction.entries.forEach { system.network.block(it, alsoNewConnections = true) }
            CommandKind.CLOSE_CONNECTIONS -> system.network.closeAll()
            CommandKind.REMOVE_NETWORK_FAULTS -> system.network.removeFaults()
            CommandKind.DUPLICATE_MESSAGES -> system.network.isDuplicating = true
            CommandKind.STORE_DOWN -> system.store.isDown = true
            CommandKind.STORE_SLOW -> system.store.isSlow = true
            CommandKind.STORE_LOSES_ANSWERS -> system.store.writeAnswersToLose = 1 + command.amount % 3
            CommandKind.STORE_READS_STALE -> system.store.hiddenNotes = 1
            CommandKind.STORE_REPAIRED -> repairStore(system)
            CommandKind.UPSTREAM_STALLS -> upstream.isStalled = true
            CommandKind.UPSTREAM_SLOW -> upstream.slowFactor = 10
            CommandKind.UPSTREAM_DROPS_ANSWERS -> upstream.answersToDrop = 1 + command.amount % 2
            CommandKind.UPSTREAMS_REPAIRED -> system.upstreams.forEach(::repairUpstream)
            CommandKind.PUBLISH -> system.publishLookupWorth(1 + command.amount)
        }
    }

    /** Mostly a few milliseconds, so that events overlap; sometimes longer than every timeout. */
    private fun advanceMilliseconds(command: Command): Int = when (command.selection % 10) {
        0 -> 3000 + command.amount * 2
        1, 2 -> command.amount
        else -> command.amount % 30
    }

    private fun repairStore(system: SimulatedSystem) {
        system.store.isDown = false
        system.store.isSlow = false
        system.store.hiddenNotes = 0
    }

    private fun repairUpstream(upstream: FakeUpstream) {
        upstream.isStalled = false
        upstream.slowFactor = 1
        upstream.answersToDrop = 0
    }
}
