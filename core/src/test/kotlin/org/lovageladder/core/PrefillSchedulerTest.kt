package org.lovageladder.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PrefillSchedulerTest {
    private val bench = CompanionHarness().makeReady().also { it.connect() }

    @Test
    fun prefillsRunUpToTheLimitInOrderOfWorthAndDeadline() {
        start(1)
        start(2, finishWithin = 900)
        start(3, finishWithin = 800)
        start(4, worth = 2.0)
        val order = ArrayList<Int>()
        repeat(4) {
            val running = bench.starts().last().attempt
            order += running.number
            bench.report(running, UpstreamReport.PrefillReady(TICKET))
        }
        assertEquals(listOf(1, 4, 3, 2), order)
        assertEquals(4, bench.effects.sent<PeerMessage.PrefillReady>().size)
    }

    private class Row(val name: String, val tokens: Int, val within: Int, val isRefused: Boolean)

    /** One prefill of 1,000 tokens was seen to take 100 ms, and another one has just begun. */
    @Test
    fun aPrefillThatCannotFinishInTimeIsRefusedAtOnce() {
        val rows = listOf(
            Row("just in time", 1000, 200, isRefused = false),
            Row("just too late", 1001, 200, isRefused = true),
            Row("too late by the running one alone", 1, 100, isRefused = true),
        )
        for (row in rows) {
            val bench = measuredBench()
            bench.receive(startPrefill(attempt(2)))
            val effects = bench.receive(
                startPrefill(attempt(3), row.tokens, finishWithin = row.within.milliseconds),
            )
            val refused = effects.sent<PeerMessage.Refused>()
            assertEquals(row.isRefused, refused.isNotEmpty(), row.name)
            refused.forEach { assertEquals(100.milliseconds, it.retryAfter, row.name) }
        }
    }

    @Test
    fun anIdleEngineIsTriedHoweverSlowItWas() {
        val bench = measuredBench()
        val effects = bench.receive(startPrefill(attempt(2), 1000, finishWithin = 1.milliseconds))
        assertEquals(1, effects.count { it is CompanionEffect.StartCall })
    }

    @Test
    fun aWorthierPrefillPushesOutOneThatThenComesTooLate() {
        val bench = measuredBench()
        bench.receive(startPrefill(attempt(2)))
        bench.receive(startPrefill(attempt(3), worth = 1.0, finishWithin = 200.milliseconds))
        val effects = bench.receive(startPrefill(attempt(4), worth = 2.0, finishWithin = 200.milliseconds))
        assertEquals(attempt(3), effects.sent<PeerMessage.Refused>().single().attempt)
    }

    @Test
    fun aWaitingPrefillIsRefusedWhenItsDeadlinePasses() {
        start(1)
        start(2, finishWithin = 300)
        val refused = bench.pass(300.milliseconds).sent<PeerMessage.Refused>().single()
        assertEquals(FaultCause.TIMEOUT, refused.fault.cause)
    }

    @Test
    fun aCancelledPrefillKeepsItsSlotUntilItIsGoneAndItsResultCountsAsWasted() {
        start(1)
        start(2)
        assertEquals(1, bench.receive(PeerMessage.Cancel(attempt(1))).count { it is CompanionEffect.CancelCall })
        assertEquals(1, bench.load(PREFILL).waiting)
        val effects = bench.report(attempt(1), UpstreamReport.PrefillReady(TICKET))
        assertTrue(EventKind.PREFILL_WASTED in effects.recorded())
        assertEquals(emptyList(), effects.messages())
        assertEquals(attempt(2), bench.starts().last().attempt)
    }

    @Test
    fun theLoadNamesTheQueuedTokens() {
        start(1)
        start(2)
        start(3)
        assertEquals(UpstreamLoad(PREFILL, 0, 0, 1, 2, 2000), bench.load(PREFILL))
    }

    private fun start(number: Int, worth: Double = 1.0, finishWithin: Int = 1000) = bench.receive(
        startPrefill(attempt(number), worth = worth, finishWithin = finishWithin.milliseconds),
    )

    private fun CompanionHarness.starts() = effects.filterIsInstance<CompanionEffect.StartCall>()

    private fun measuredBench(): CompanionHarness {
        val bench = CompanionHarness().makeReady().also { it.connect() }
        bench.receive(startPrefill(attempt(1), finishWithin = 5.seconds))
        bench.pass(100.milliseconds)
        bench.report(attempt(1), UpstreamReport.PrefillReady(TICKET))
        return bench
    }
}
