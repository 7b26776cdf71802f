package org.lovageladder.core.world

import org.lovageladder.core.Execution
import org.lovageladder.core.Outcome
import org.lovageladder.core.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WholeSystemTest {
    private class FreeingRow(val name: String, val bound: Duration, val gone: (World, Caller) -> Unit)

    @Test
    fun memoryIsFreeSoonAfterNobodyAwaitsIt() {
        val silence = 4.seconds + 250.milliseconds
        val rows = listOf(
            FreeingRow("caller left", 250.milliseconds) { world, caller -> world.leave(caller) },
            FreeingRow("entry died", 250.milliseconds) { world, _ -> world.entries[0].kill() },
            FreeingRow("entry froze", silence) { world, _ -> world.entries[0].freeze() },
            FreeingRow("entry cut off", silence) { world, _ -> world.network.cut(Cut.TO_COMPANION, lasting = true) },
            FreeingRow("companion restarted", 2.seconds) { world, _ ->
                world.companions.forEach { it.kill() }
                world.companions.forEach { it.boot() }
            },
        )
        for (row in rows) {
            for (age in listOf(1, 5, 20, 40, 100)) {
                val world = World(age.toLong())
                val caller = world.generation(entry = 0, tokens = 4000)
                world.advance(age.milliseconds)
                row.gone(world, caller)
                world.upstreams.forEach { it.slowFactor = 50 }
                world.advance(row.bound)
                val held = world.upstreams.filter { it.requests.isNotEmpty() }.map { it.entry.name }
                assertEquals(emptyList(), held, "${row.name} after $age ms")
            }
        }
    }

    @Test
    fun anUpstreamThatLeavesFinishesWhatItHasAndGetsNothingNew() {
        val world = World(1)
        val callers = (1..4).map { world.generation(entry = it, tokens = 200) }
        world.advance(100.milliseconds)
        world.companions.forEach { it.stop() }
        world.advance(30.seconds)
        callers.forEach { assertIs<Outcome.Generated>(it.outcome) }
        assertEquals(emptyList(), world.oracle.violations)
    }

    private class ListedRow(val entriesRead: Boolean, val companionsRead: Boolean)

    @Test
    fun aListedHostGetsNothingNewWhoeverHasReadTheList() {
        val rows = listOf(ListedRow(true, true), ListedRow(true, false), ListedRow(false, true))
        for (row in rows) {
            val world = World(1)
            val leaving = world.companions.first { "decode-1" in it.host.text }.host
            world.hostsListed(leaving, row.entriesRead, row.companionsRead)
            val callers = (1..50).map {
                world.advance(100.milliseconds)
                world.generation(entry = it, tokens = 2)
            }
            world.advance(2.seconds)
            callers.forEach { assertIs<Outcome.Generated>(it.outcome) }
            assertEquals(emptyList(), world.oracle.violations)
        }
    }

    @Test
    fun aRepeatedKeyIsAnsweredOnceByTheUpstreamAndTwiceByTheEntries() {
        val world = World(1)
        val first = world.action(entry = 0, key = 1)
        val crossing = world.action(entry = 1, key = 1)
        world.advance(1.seconds)
        val late = world.action(entry = 1, key = 1)
        world.advance(1.seconds)
        listOf(first, crossing, late).forEach { assertIs<Outcome.Answered>(it.outcome) }
        assertTrue(assertIs<Outcome.Answered>(late.outcome).replayed)
        assertEquals(emptyList(), world.oracle.violations)
    }

    private class TakeoverRow(val storeDown: Boolean, val told: (Outcome?) -> Boolean)

    @Test
    fun notRunIsNeverToldOfAnActionThatAnotherEntryTookOver() {
        val rows = listOf(
            TakeoverRow(storeDown = false) { it is Outcome.Answered },
            TakeoverRow(storeDown = true) { (it as? Outcome.Refused)?.execution == Execution.UNKNOWN },
        )
        for (row in rows) {
            val crossed = (0..60).count { step ->
                val world = World(1)
                val first = world.action(entry = 0, key = 1)
                world.advance(4.milliseconds + 50.microseconds * step)
                world.network.breakAll()
                world.entries[0].freeze()
                world.advance(700.milliseconds)
                val second = world.action(entry = 1, key = 1)
                world.advance(300.milliseconds)
                world.store.down = row.storeDown
                world.entries[0].wake()
                world.advance(5.seconds)
                assertEquals(emptyList(), world.oracle.violations, "step $step")
                second.outcome is Outcome.Answered && row.told(first.outcome)
            }
            assertTrue(crossed > 0, "no row crossed, store down: ${row.storeDown}")
        }
    }

    @Test
    fun aNoteIsInForceEverywhereWithinFourSeconds() {
        val rows = listOf<(World) -> Unit>(
            {},
            { it.store.down = true },
            { it.store.hiddenNotes = 1 },
        )
        for (afterAcceptance in rows) {
            val world = World(1)
            world.publishWorth(7)
            world.advance(2.milliseconds)
            afterAcceptance(world)
            world.advance(4.seconds)
            (world.entries + world.companions).forEach { it.checkRelease(world.oracle, world.published) }
            assertEquals(emptyList(), world.oracle.violations)
        }
    }

    @Test
    fun anEntryThatStartsInAnOutageLearnsTheReleaseFromItsPeers() {
        val world = World(1)
        world.store.down = true
        world.entries[0].kill()
        world.entries[0].boot()
        world.advance(4.seconds)
        assertTrue(world.entries[0].isReady())
        val lookup = world.lookup(entry = 0)
        world.advance(1.seconds)
        assertIs<Outcome.Answered>(lookup.outcome)
    }

    @Test
    fun anActionDuringAnOutageIsRefusedWithTheTruth() {
        val world = World(1)
        val before = world.action(entry = 0, key = 1)
        world.advance(1.seconds)
        assertIs<Outcome.Answered>(before.outcome)
        world.store.down = true
        val repeated = world.action(entry = 1, key = 1)
        world.advance(1700.milliseconds)
        val refused = assertIs<Outcome.Refused>(repeated.outcome)
        assertEquals(RefusalReason.STORE_UNAVAILABLE, refused.reason)
        assertEquals(Execution.UNKNOWN, refused.execution)
        assertEquals(false, refused.submissionRan)
        assertNotNull(refused.retryAfter)
        val next = world.action(entry = 1, key = 2)
        assertIs<Outcome.Refused>(next.outcome, "refused at once while the service is known to be away")
        world.store.down = false
        world.advance(1.seconds)
        val after = world.action(entry = 1, key = 2)
        world.advance(1.seconds)
        assertIs<Outcome.Answered>(after.outcome)
    }

    /**
     * Each key is submitted four times at once through both entries, and a companion of the service goes in between.
     * The oracle checks that "not run" is told only of keys that had not run until then; a submission beside it may run.
     */
    @Test
    fun contestedKeysRunOnceAndNotRunIsTrueWhenItIsTold() {
        val world = World(1)
        val contested = (1..40).flatMap { key ->
            if (key == 20) world.companions.last().kill()
            val callers = List(4) { number -> world.action(entry = number % 2, key = key) }
            world.advance(20.milliseconds)
            callers
        }
        world.advance(20.seconds)
        assertTrue(contested.all { it.outcome != null })
        val fresh = (101..110).map { key -> world.action(entry = key % 2, key = key) }
        world.advance(5.seconds)
        fresh.forEach { assertIs<Outcome.Answered>(it.outcome) }
        assertEquals(emptyList(), world.oracle.violations)
    }

    @Test
    fun whatFindsNoMemoryInTimeIsRefusedByItsTargetAndToldWhenToComeBack() {
        val world = World(1)
        val holders = (1..8).map { world.generation(entry = 0, tokens = 3900) }
        world.advance(500.milliseconds)
        val late = world.generation(entry = 0, tokens = 4000)
        world.advance(2.seconds)
        val refused = assertIs<Outcome.Refused>(late.outcome)
        assertEquals(Execution.NOT_RUN, refused.execution)
        assertNotNull(refused.retryAfter)
        assertTrue(holders.all { it.outcome == null })
        assertEquals(emptyList(), world.oracle.violations)
    }

    @Test
    fun aPromptLargerThanAnyUpstreamIsRefusedAtOnce() {
        val world = World(1)
        val caller = world.generation(entry = 0, tokens = 1, promptTokens = 20_000)
        val refused = assertIs<Outcome.Refused>(caller.outcome)
        assertEquals(RefusalReason.PROMPT_TOO_LARGE, refused.reason)
        assertTrue("5 pieces" in refused.detail && "has 4" in refused.detail, refused.detail)
    }
}
