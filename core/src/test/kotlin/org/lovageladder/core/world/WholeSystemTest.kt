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
    private class AbandonmentCase(val name: String, val bound: Duration, val abandon: (SimulatedSystem, Caller) -> Unit)

    @Test
    fun memoryIsFreedAfterACallerOrProcessIsLost() {
        val silenceTimeout = 4.seconds + 250.milliseconds
        val cases = listOf(
            AbandonmentCase("caller disconnected", 250.milliseconds) { system, caller -> system.disconnect(caller) },
            AbandonmentCase("entry killed", 250.milliseconds) { system, _ -> system.entries[0].kill() },
            AbandonmentCase("entry frozen", silenceTimeout) { system, _ -> system.entries[0].freeze() },
            AbandonmentCase("entry cannot reach companions", silenceTimeout) { system, _ ->
                system.network.block(Direction.TO_COMPANION, alsoNewConnections = true)
            },
            AbandonmentCase("companion restarted", 2.seconds) { system, _ ->
                system.companions.forEach { it.kill() }
                system.companions.forEach { it.start() }
            },
        )
        for (case in cases) {
            for (age in listOf(1, 5, 20, 40, 100)) {
                val system = SimulatedSystem(age.toLong())
                val caller = system.submitGeneration(entry = 0, tokens = 4000)
                system.advance(age.milliseconds)
                case.abandon(system, caller)
                system.upstreams.forEach { it.slowFactor = 50 }
                system.advance(case.bound)
                val held = system.upstreams.filter { it.requests.isNotEmpty() }.map { it.entry.name }
                assertEquals(emptyList(), held, "${case.name} after $age ms")
            }
        }
    }

    @Test
    fun leavingUpstreamsFinishTheirRequestsAndGetNoNewOnes() {
        val system = SimulatedSystem(1)
        val callers = (1..4).map { system.submitGeneration(entry = it, tokens = 200) }
        system.advance(100.milliseconds)
        system.companions.forEach { it.requestStop() }
        system.advance(30.seconds)
        callers.forEach { assertIs<Outcome.Generated>(it.outcome) }
        assertEquals(emptyList(), system.oracle.violations)
    }

    private class HostListCase(val entriesRead: Boolean, val companionsRead: Boolean)

    @Test
    fun aHostListedAsLeavingGetsNoNewRequestsWhicheverSideReadTheList() {
        val cases = listOf(HostListCase(true, true), HostListCase(true, false), HostListCase(false, true))
        for (case in cases) {
            val system = SimulatedSystem(1)
            val leaving = system.companions.first { "decode-1" in it.host.text }.host
            system.listHostAsLeaving(leaving, case.entriesRead, case.companionsRead)
            val callers = (1..50).map {
                system.advance(100.milliseconds)
                system.submitGeneration(entry = it, tokens = 2)
            }
            system.advance(2.seconds)
            callers.forEach { assertIs<Outcome.Generated>(it.outcome) }
            assertEquals(emptyList(), system.oracle.violations)
        }
    }

    @Test
    fun aRepeatedKeyRunsOnceAndEverySubmissionIsAnswered() {
        val system = SimulatedSystem(1)
        val first = system.submitNonIdempotentCall(entry = 0, key = 1)
        val concurrent = system.submitNonIdempotentCall(entry = 1, key = 1)
        system.advance(1.seconds)
        val late = system.submitNonIdempotentCall(entry = 1, key = 1)
        system.advance(1.seconds)
        listOf(first, concurrent, late).forEach { assertIs<Outcome.Answered>(it.outcome) }
        assertTrue(assertIs<Outcome.Answered>(late.outcome).replayed)
        assertEquals(emptyList(), system.oracle.violations)
    }

    private class TakeOverCase(val storeDown: Boolean, val isExpectedOutcome: (Outcome?) -> Boolean)

    @Test
    fun noCallerIsToldNotRunForACallThatAnotherEntryTookOver() {
        val cases = listOf(
            TakeOverCase(storeDown = false) { it is Outcome.Answered },
            TakeOverCase(storeDown = true) { (it as? Outcome.Refused)?.execution == Execution.UNKNOWN },
        )
        for (case in cases) {
            val takeOvers = (0..60).count { step ->
                val system = SimulatedSystem(1)
                val first = system.submitNonIdempotentCall(entry = 0, key = 1)
                system.advance(4.milliseconds + 50.microseconds * step)
                system.network.closeAll()
                system.entries[0].freeze()
                system.advance(700.milliseconds)
                val second = system.submitNonIdempotentCall(entry = 1, key = 1)
                system.advance(300.milliseconds)
                system.store.isDown = case.storeDown
                system.entries[0].unfreeze()
                system.advance(5.seconds)
                assertEquals(emptyList(), system.oracle.violations, "step $step")
                second.outcome is Outcome.Answered && case.isExpectedOutcome(first.outcome)
            }
            assertTrue(takeOvers > 0, "no claim was taken over, store down: ${case.storeDown}")
        }
    }

    @Test
    fun aNoteIsAppliedByEveryProcessWithinFourSeconds() {
        val cases = listOf<(SimulatedSystem) -> Unit>({}, { it.store.isDown = true }, { it.store.hiddenNotes = 1 })
        for (injectFault in cases) {
            val system = SimulatedSystem(1)
            system.publishLookupWorth(7)
            system.advance(2.milliseconds)
            injectFault(system)
            system.advance(4.seconds)
            (system.entries + system.companions).forEach { it.checkRelease(system.oracle, system.publishedVersion) }
            assertEquals(emptyList(), system.oracle.violations)
        }
    }

    @Test
    fun anEntryStartedDuringAStoreOutageLearnsTheReleaseFromCompanions() {
        val system = SimulatedSystem(1)
        system.store.isDown = true
        system.entries[0].kill()
        system.entries[0].start()
        system.advance(4.seconds)
        assertTrue(system.entries[0].isReady())
        val lookup = system.submitIdempotentCall(entry = 0)
        system.advance(1.seconds)
        assertIs<Outcome.Answered>(lookup.outcome)
    }

    @Test
    fun aNonIdempotentCallDuringAStoreOutageIsRefusedAsUnknown() {
        val system = SimulatedSystem(1)
        val before = system.submitNonIdempotentCall(entry = 0, key = 1)
        system.advance(1.seconds)
        assertIs<Outcome.Answered>(before.outcome)
        system.store.isDown = true
        val repeated = system.submitNonIdempotentCall(entry = 1, key = 1)
        system.advance(1700.milliseconds)
        val refused = assertIs<Outcome.Refused>(repeated.outcome)
        assertEquals(RefusalReason.STORE_UNAVAILABLE, refused.reason)
        assertEquals(Execution.UNKNOWN, refused.execution)
        assertEquals(false, refused.submissionRan)
        assertNotNull(refused.retryAfter)
        val next = system.submitNonIdempotentCall(entry = 1, key = 2)
        assertIs<Outcome.Refused>(next.outcome, "refused at once while the service is known to be unavailable")
        system.store.isDown = false
        system.advance(1.seconds)
        val after = system.submitNonIdempotentCall(entry = 1, key = 2)
        system.advance(1.seconds)
        assertIs<Outcome.Answered>(after.outcome)
    }

    /**
     * Each key is submitted four times at once through both entries, and a companion of the service is killed midway.
     * The oracle checks that "not run" is told only of keys that had not run until then; a concurrent submission may
     * run.
     */
    @Test
    fun concurrentSubmissionsOfAKeyRunOnceAndNotRunIsNeverWrong() {
        val system = SimulatedSystem(1)
        val contestedCallers = (1..40).flatMap { key ->
            if (key == 20) system.companions.last().kill()
            val callers = List(4) { number -> system.submitNonIdempotentCall(entry = number % 2, key = key) }
            system.advance(20.milliseconds)
            callers
        }
        system.advance(20.seconds)
        assertTrue(contestedCallers.all { it.outcome != null })
        val fresh = (101..110).map { key -> system.submitNonIdempotentCall(entry = key % 2, key = key) }
        system.advance(5.seconds)
        fresh.forEach { assertIs<Outcome.Answered>(it.outcome) }
        assertEquals(emptyList(), system.oracle.violations)
    }

    @Test
    fun aGenerationWithoutMemoryInTimeIsRefusedWithRetryAfter() {
        val system = SimulatedSystem(1)
        val memoryHolders = (1..8).map { system.submitGeneration(entry = 0, tokens = 3900) }
        system.advance(500.milliseconds)
        val late = system.submitGeneration(entry = 0, tokens = 4000)
        system.advance(2.seconds)
        val refused = assertIs<Outcome.Refused>(late.outcome)
        assertEquals(Execution.NOT_RUN, refused.execution)
        assertNotNull(refused.retryAfter)
        assertTrue(memoryHolders.all { it.outcome == null })
        assertEquals(emptyList(), system.oracle.violations)
    }

    @Test
    fun aPromptLargerThanAnyUpstreamIsRefusedAtOnce() {
        val system = SimulatedSystem(1)
        val caller = system.submitGeneration(entry = 0, tokens = 1, promptTokens = 20_000)
        val refused = assertIs<Outcome.Refused>(caller.outcome)
        assertEquals(RefusalReason.PROMPT_TOO_LARGE, refused.reason)
        assertTrue("5 pieces" in refused.detail && "has 4" in refused.detail, refused.detail)
    }
}
