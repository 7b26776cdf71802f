package org.lovageladder.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

private val ADAPTER = ModelName("adapter-a")
private val OTHER_ADAPTER = ModelName("adapter-b")

class UpstreamOrdersTest {
    private val harness = CompanionHarness().makeReady().also { it.connect() }

    @Test
    fun releaseChangesAreOrderedOneAtATimeWithTheReleaseAsFencingNumber() {
        change(2, ADAPTER)
        change(3, OTHER_ADAPTER)
        assertEquals(listOf(UpstreamOrder.LoadAdapter(ADAPTER) to 2L), harness.orders())
        endOrder(UpstreamOrder.LoadAdapter(ADAPTER), 2)
        endOrder(UpstreamOrder.UnloadAdapter(ADAPTER), 3)
        endOrder(UpstreamOrder.LoadAdapter(OTHER_ADAPTER), 3)
        val expected = listOf(
            UpstreamOrder.LoadAdapter(ADAPTER) to 2L,
            UpstreamOrder.UnloadAdapter(ADAPTER) to 3L,
            UpstreamOrder.LoadAdapter(OTHER_ADAPTER) to 3L,
        )
        assertEquals(expected, harness.orders())
    }

    @Test
    fun aFailedOrderIsRepeatedUnlessItWasFencedOrReplaced() {
        change(2, ADAPTER)
        endOrder(UpstreamOrder.LoadAdapter(ADAPTER), 2, FaultCause.TIMEOUT)
        harness.advanceTime(200.milliseconds)
        assertEquals(2, harness.orders().size)
        change(3)
        endOrder(UpstreamOrder.LoadAdapter(ADAPTER), 2, FaultCause.TIMEOUT)
        harness.advanceTime(1.minutes)
        assertEquals(UpstreamOrder.UnloadAdapter(ADAPTER) to 3L, harness.orders().last())
        assertEquals(3, harness.orders().size)
        endOrder(UpstreamOrder.UnloadAdapter(ADAPTER), 3, FaultCause.FENCED)
        harness.advanceTime(1.minutes)
        assertEquals(3, harness.orders().size)
        assertEquals(3, harness.effects.recorded().count { it == EventKind.ORDER_REFUSED })
    }

    @Test
    fun theResultOfAnOlderOrderIsIgnored() {
        change(2, ADAPTER)
        endOrder(UpstreamOrder.LoadAdapter(ADAPTER), 1)
        assertTrue(EventKind.ORDER_GIVEN !in harness.effects.recorded())
        endOrder(UpstreamOrder.LoadAdapter(ADAPTER), 2)
        assertTrue(EventKind.ORDER_GIVEN in harness.effects.recorded())
    }

    @Test
    fun aRoleChangeWaitsForTheOldWorkAndNewWorkWaitsForTheRoleChange() {
        harness.receive(reserve(attempt(1)))
        harness.receive(startDecode(attempt(1)))
        val moved = DECODE_ENTRY.copy(pool = PoolName("prefill"), pieces = 0)
        harness.receive(PeerMessage.Notes(listOf(note(2, changed = listOf(moved)))))
        assertEquals(emptyList(), harness.orders())
        harness.report(attempt(1), UpstreamReport.Finished(1, "stop"))
        assertEquals(listOf(UpstreamOrder.ChangeRole(PoolRole.PREFILL) to 2L), harness.orders())
        val early = harness.receive(startPrefill(attempt(2)).copy(upstream = DECODE))
        assertIs<PeerMessage.Refused>(early.messages().single())
        endOrder(UpstreamOrder.ChangeRole(PoolRole.PREFILL), 2)
        val later = harness.receive(startPrefill(attempt(3)).copy(upstream = DECODE))
        assertEquals(1, later.count { it is CompanionEffect.StartCall })
    }

    private fun change(version: Long, adapter: ModelName? = null) = harness.receive(
        PeerMessage.Notes(
            listOf(note(version, changed = listOf(DECODE_ENTRY.copy(adapters = listOfNotNull(adapter))))),
        ),
    )

    private fun endOrder(order: UpstreamOrder, fencing: Long, cause: FaultCause? = null) = harness.handle(
        CompanionEvent.OrderEnded(DECODE, order, fencing, cause?.let { Fault(Step.ORDER, DECODE.text, it) }),
    )

    private fun CompanionHarness.orders() =
        effects.filterIsInstance<CompanionEffect.SendOrder>().map { it.order to it.fencing }
}
