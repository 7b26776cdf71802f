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
    private val bench = CompanionHarness().makeReady().also { it.connect() }

    @Test
    fun differencesBecomeOrdersOneAtATimeWithTheReleaseAsFencingNumber() {
        change(2, ADAPTER)
        change(3, OTHER_ADAPTER)
        assertEquals(listOf(UpstreamOrder.LoadAdapter(ADAPTER) to 2L), bench.orders())
        end(UpstreamOrder.LoadAdapter(ADAPTER), 2)
        end(UpstreamOrder.UnloadAdapter(ADAPTER), 3)
        end(UpstreamOrder.LoadAdapter(OTHER_ADAPTER), 3)
        val expected = listOf(
            UpstreamOrder.LoadAdapter(ADAPTER) to 2L,
            UpstreamOrder.UnloadAdapter(ADAPTER) to 3L,
            UpstreamOrder.LoadAdapter(OTHER_ADAPTER) to 3L,
        )
        assertEquals(expected, bench.orders())
    }

    @Test
    fun aFailedOrderIsRepeatedUnlessItWasFencedOrReplaced() {
        change(2, ADAPTER)
        end(UpstreamOrder.LoadAdapter(ADAPTER), 2, FaultCause.TIMEOUT)
        bench.pass(200.milliseconds)
        assertEquals(2, bench.orders().size)
        change(3)
        end(UpstreamOrder.LoadAdapter(ADAPTER), 2, FaultCause.TIMEOUT)
        bench.pass(1.minutes)
        assertEquals(UpstreamOrder.UnloadAdapter(ADAPTER) to 3L, bench.orders().last())
        assertEquals(3, bench.orders().size)
        end(UpstreamOrder.UnloadAdapter(ADAPTER), 3, FaultCause.FENCED)
        bench.pass(1.minutes)
        assertEquals(3, bench.orders().size)
        assertEquals(3, bench.effects.recorded().count { it == EventKind.ORDER_REFUSED })
    }

    @Test
    fun theEndOfAnOlderOrderIsIgnored() {
        change(2, ADAPTER)
        end(UpstreamOrder.LoadAdapter(ADAPTER), 1)
        assertTrue(EventKind.ORDER_GIVEN !in bench.effects.recorded())
        end(UpstreamOrder.LoadAdapter(ADAPTER), 2)
        assertTrue(EventKind.ORDER_GIVEN in bench.effects.recorded())
    }

    @Test
    fun aChangeOfRoleWaitsForTheOldWorkAndHoldsBackTheNew() {
        bench.receive(reserve(attempt(1)))
        bench.receive(startDecode(attempt(1)))
        val moved = DECODE_ENTRY.copy(pool = PoolName("prefill"), pieces = 0)
        bench.receive(PeerMessage.Notes(listOf(note(2, changed = listOf(moved)))))
        assertEquals(emptyList(), bench.orders())
        bench.report(attempt(1), UpstreamReport.Finished(1, "stop"))
        assertEquals(listOf(UpstreamOrder.ChangeRole(PoolRole.PREFILL) to 2L), bench.orders())
        val early = bench.receive(startPrefill(attempt(2)).copy(upstream = DECODE))
        assertIs<PeerMessage.Refused>(early.messages().single())
        end(UpstreamOrder.ChangeRole(PoolRole.PREFILL), 2)
        val later = bench.receive(startPrefill(attempt(3)).copy(upstream = DECODE))
        assertEquals(1, later.count { it is CompanionEffect.StartCall })
    }

    private fun change(version: Long, adapter: ModelName? = null) = bench.receive(
        PeerMessage.Notes(
            listOf(note(version, changed = listOf(DECODE_ENTRY.copy(adapters = listOfNotNull(adapter))))),
        ),
    )

    private fun end(order: UpstreamOrder, fencing: Long, cause: FaultCause? = null) = bench.handle(
        CompanionEvent.OrderEnded(DECODE, order, fencing, cause?.let { Fault(Step.ORDER, DECODE.text, it) }),
    )

    private fun CompanionHarness.orders() =
        effects.filterIsInstance<CompanionEffect.GiveOrder>().map { it.order to it.fencing }
}
