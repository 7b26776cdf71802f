package org.lovageladder.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PrefillSchedulerTest {
    private val harness = CompanionHarness().makeReady().also { it.connect() }

    @Test
    fun prefillsStartUpToTheLimitInOrderOfWorthAndDeadline() {
        start(1)
        start(2, finishWithin = 900)
        start(3, finishWithin = 800)
        start(4, worth = 2.0)
        val order = ArrayList<Int>()
        repeat(4) {
            val running = harness.startedCalls().last().attempt
            order += running.number
            harness.report(running, UpstreamReport.PrefillReady(TICKET))
        }
        assertEquals(listOf(1, 4, 3, 2), order)
        assertEquals(4, harness.effects.sent<PeerMessage.PrefillReady>().size)
    }

    private class Row(val name: String, val tokens: Int, val finishWithinMilliseconds: Int, val isRefused: Boolean)

    /** One prefill of 1,000 tokens was measured to take 100 ms, and another one has just started. */
    @Test
    fun aPrefillThatCannotFinishInTimeIsRefusedAtOnce() {
        val rows = listOf(
            Row("just in time", 1000, 200, isRefused = false),
            Row("just too late", 1001, 200, isRefused = true),
            Row("too late by the running one alone", 1, 100, isRefused = true),
        )
        for (row in rows) {
            val harness = measuredHarness()
            harness.receive(startPrefill(attempt(2)))
            val effects = harness.receive(
                startPrefill(attempt(3), row.tokens, finishWithin = row.finishWithinMilliseconds.milliseconds),
            )
            val refused = effects.sent<PeerMessage.Refused>()
            assertEquals(row.isRefused, refused.isNotEmpty(), row.name)
            refused.forEach { assertEquals(100.milliseconds, it.retryAfter, row.name) }
        }
    }

    @Test
    fun anIdleEngineIsUsedHoweverSlowItWas() {
        val harness = measuredHarness()
        val effects = harness.receive(startPrefill(attempt(2), 1000, finishWithin = 1.milliseconds))
        assertEquals(1, effects.count { it is CompanionEffect.StartCall })
    }

    @Test
    fun aPrefillOfHigherWorthCausesTheRefusalOfOneThatWouldThenFinishTooLate() {
        val harness = measuredHarness()
        harness.receive(startPrefill(attempt(2)))
        harness.receive(startPrefill(attempt(3), worth = 1.0, finishWithin = 200.milliseconds))
        val effects = harness.receive(startPrefill(attempt(4), worth = 2.0, finishWithin = 200.milliseconds))
        assertEquals(attempt(3), effects.sent<PeerMessage.Refused>().single().attempt)
    }

    @Test
    fun aWaitingPrefillIsRefusedWhenItsDeadlinePasses() {
        start(1)
        start(2, finishWithin = 300)
        val refused = harness.advanceTime(300.milliseconds).sent<PeerMessage.Refused>().single()
        assertEquals(FaultCause.TIMEOUT, refused.fault.cause)
    }

    @Test
    fun aCancelledPrefillKeepsItsSlotUntilItEndsAndItsResultCountsAsWasted() {
        start(1)
        start(2)
        assertEquals(1, harness.receive(PeerMessage.Cancel(attempt(1))).count { it is CompanionEffect.CancelCall })
        assertEquals(1, harness.load(PREFILL).waiting)
        val effects = harness.report(attempt(1), UpstreamReport.PrefillReady(TICKET))
        assertTrue(EventKind.PREFILL_WASTED in effects.recorded())
        assertEquals(emptyList(), effects.messages())
        assertEquals(attempt(2), harness.startedCalls().last().attempt)
    }

    @Test
    fun theLoadContainsTheQueuedTokens() {
        start(1)
        start(2)
        start(3)
        assertEquals(UpstreamLoad(PREFILL, 0, 0, 1, 2, 2000), harness.load(PREFILL))
    }

    private fun start(number: Int, worth: Double = 1.0, finishWithin: Int = 1000) = harness.receive(
        startPrefill(attempt(number), worth = worth, finishWithin = finishWithin.milliseconds),
    )

    private fun CompanionHarness.startedCalls() = effects.filterIsInstance<CompanionEffect.StartCall>()

    private fun measuredHarness(): CompanionHarness {
        val harness = CompanionHarness().makeReady().also { it.connect() }
        harness.receive(startPrefill(attempt(1), finishWithin = 5.seconds))
        harness.advanceTime(100.milliseconds)
        harness.report(attempt(1), UpstreamReport.PrefillReady(TICKET))
        return harness
    }
}
