package org.lovageladder.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val FINISHED = UpstreamReport.Finished(3, "stop")

class DecodeSchedulerTest {
    private val bench = CompanionHarness().makeReady().also { it.connect() }
    private val first = attempt(1)
    private val second = attempt(2)

    private class Row(val name: String, val steps: CompanionHarness.() -> Unit, val free: Int)

    @Test
    fun memoryIsHeldUntilTheEngineCanHoldNothing() {
        val rows = listOf(
            Row("granted", { grant() }, 6),
            Row("running", { run() }, 6),
            Row("finished", { run().also { report(first, FINISHED) } }, 10),
            Row("crashed", { run().also { report(first, failed(FaultCause.CRASHED)) } }, 10),
            Row("broken stream", { run().also { report(first, failed(FaultCause.CONNECTION_LOST)) } }, 6),
            Row("cancelled, granted", { grant().also { cancel() } }, 10),
            Row("cancelled, running", { run().also { cancel() } }, 6),
            Row("cancelled, unconfirmed", { run().also { cancel() }.also { cancelEnded(false) } }, 6),
            Row("cancelled, confirmed", { run().also { cancel() }.also { cancelEnded(true) } }, 10),
            Row("cancelled, then finished", { run().also { cancel() }.also { report(first, FINISHED) } }, 10),
            Row("owner lost, granted", { grant().also { disconnect() } }, 10),
            Row("owner lost, running", { run().also { disconnect() } }, 6),
            Row("lapsed", { grant().also { pass(2.seconds) } }, 10),
            Row("reserved twice", { grant().also { grant() } }, 6),
            Row("started twice", { run().also { receive(startDecode(first)) } }, 6),
            Row("cancelled before reserving", { cancel().also { grant() } }, 10),
            Row("reserved after its end", { run().also { report(first, FINISHED) }.also { grant() } }, 10),
        )
        for (row in rows) {
            val bench = CompanionHarness().makeReady().also { it.connect() }
            row.steps(bench)
            assertEquals(row.free, bench.load(DECODE).piecesFree, row.name)
        }
    }

    @Test
    fun nothingIsSentAboutACancelledAttempt() {
        val ends = listOf(
            FINISHED,
            UpstreamReport.Token(0, "a"),
            failed(FaultCause.CRASHED),
            failed(FaultCause.CONNECTION_LOST),
        )
        for (end in ends) {
            val bench = CompanionHarness().makeReady().also { it.connect() }
            bench.run()
            bench.cancel()
            assertEquals(emptyList(), bench.report(first, end).messages(), end.toString())
        }
    }

    @Test
    fun aCancelThatCrossesTheLastReportIsIgnored() {
        bench.run()
        bench.report(first, FINISHED)
        assertEquals(emptyList(), bench.cancel())
        assertEquals(emptyList(), bench.cancelEnded(true).filter { it !is CompanionEffect.Record })
        assertEquals(DECODE_PIECES, bench.load(DECODE).piecesFree)
    }

    @Test
    fun anUnconfirmedCancelIsRepeatedInEachInterval() {
        bench.run()
        assertEquals(1, bench.cancel().count { it is CompanionEffect.CancelCall })
        repeat(3) {
            val ended = bench.cancelEnded(false)
            assertTrue(EventKind.CANCEL_UNCONFIRMED in ended.recorded())
            assertEquals(1, bench.pass(100.milliseconds).count { it is CompanionEffect.CancelCall })
        }
        bench.cancelEnded(true)
        assertEquals(0, bench.pass(1.seconds).count { it is CompanionEffect.CancelCall })
    }

    private class RefusalRow(
        val name: String,
        val pieces: Int,
        val wait: Duration,
        val cause: FaultCause?,
        val heldBefore: Int = 0,
    )

    @Test
    fun aReservationIsGrantedRefusedAtOnceOrQueued() {
        val rows = listOf(
            RefusalRow("exactly all", 10, Duration.ZERO, null),
            RefusalRow("more than all", 11, 1.seconds, FaultCause.OUT_OF_MEMORY),
            RefusalRow("no piece", 0, 1.seconds, FaultCause.OUT_OF_MEMORY),
            RefusalRow("exactly the rest", 4, Duration.ZERO, null, heldBefore = 6),
            RefusalRow("one more than the rest, no wait", 5, Duration.ZERO, FaultCause.TIMEOUT, heldBefore = 6),
        )
        for (row in rows) {
            val bench = CompanionHarness().makeReady().also { it.connect() }
            if (row.heldBefore > 0) bench.receive(reserve(second, row.heldBefore))
            val sent = bench.receive(reserve(first, row.pieces, waitAtMost = row.wait)).messages().single()
            when (row.cause) {
                null -> assertEquals(first, (sent as PeerMessage.Granted).attempt, row.name)
                else -> assertEquals(row.cause, (sent as PeerMessage.Refused).fault.cause, row.name)
            }
        }
    }

    @Test
    fun aWaitingReservationIsGrantedWhenMemoryIsFreedAndRefusedAtItsDeadline() {
        bench.receive(reserve(first, 10))
        assertEquals(emptyList(), bench.receive(reserve(second, 1, waitAtMost = 1.seconds)).messages())
        assertEquals(emptyList(), bench.receive(reserve(attempt(3), 10, waitAtMost = 500.milliseconds)).messages())
        val refused = bench.pass(500.milliseconds).sent<PeerMessage.Refused>().single()
        assertEquals(attempt(3), refused.attempt)
        assertTrue(refused.retryAfter > Duration.ZERO)
        assertEquals(second, bench.cancel().sent<PeerMessage.Granted>().single().attempt)
    }

    @Test
    fun waitingReservationsGoByWorthThenDeadlineThenArrival() {
        bench.receive(reserve(first, 10))
        bench.receive(reserve(attempt(2), 5, worth = 1.0, waitAtMost = 900.milliseconds))
        bench.receive(reserve(attempt(3), 5, worth = 1.0, waitAtMost = 800.milliseconds))
        bench.receive(reserve(attempt(4), 5, worth = 2.0, waitAtMost = 1.seconds))
        bench.receive(reserve(attempt(5), 5, worth = 1.0, waitAtMost = 800.milliseconds))
        val granted = bench.cancel().sent<PeerMessage.Granted>().map { it.attempt.number }
        assertEquals(listOf(4, 3), granted)
    }

    @Test
    fun aFullQueueKeepsTheMostWorthy() {
        val bench = CompanionHarness(CompanionHarness().settings.copy(queueLimit = 2)).makeReady().also { it.connect() }
        bench.receive(reserve(first, 10))
        bench.receive(reserve(attempt(2), worth = 2.0))
        bench.receive(reserve(attempt(3), worth = 1.0))
        val refusedLow = bench.receive(reserve(attempt(4), worth = 0.5)).sent<PeerMessage.Refused>().single()
        val refusedTail = bench.receive(reserve(attempt(5), worth = 3.0)).sent<PeerMessage.Refused>().single()
        assertEquals(listOf(4, 3), listOf(refusedLow, refusedTail).map { it.attempt.number })
    }

    @Test
    fun theRunningLimitCountsReservationsToo() {
        val granted = (1..5).map { bench.receive(reserve(attempt(it))).sent<PeerMessage.Granted>().size }
        assertEquals(listOf(1, 1, 1, 1, 0), granted)
    }

    @Test
    fun aReservationThatWouldLapseAtOnceIsRefused() {
        val refused = bench.receive(reserve(first, holdAtMost = Duration.ZERO)).messages().single()
        assertEquals(FaultCause.PROTOCOL, (refused as PeerMessage.Refused).fault.cause)
    }

    @Test
    fun aLapsedReservationCannotBeUsed() {
        bench.grant()
        assertTrue(EventKind.RESERVATION_LAPSED in bench.pass(2.seconds).recorded())
        val refused = bench.receive(startDecode(first)).messages().single() as PeerMessage.Refused
        assertEquals(FaultCause.EXPIRED, refused.fault.cause)
        assertEquals(emptyList(), bench.receive(startDecode(first)).messages())
    }

    @Test
    fun aStreamGivesTokensFromTheIndexAskedFor() {
        bench.receive(reserve(first))
        bench.receive(startDecode(first, fromIndex = 1))
        val sent = (0..2).flatMap { bench.report(first, UpstreamReport.Token(it, "t$it")).messages() } +
            bench.report(first, FINISHED).messages()
        assertEquals(listOf(1, 2), sent.filterIsInstance<PeerMessage.TokenProduced>().map { it.index })
        assertEquals(DECODE_PIECES, (sent.last() as PeerMessage.DecodeFinished).load.piecesFree)
    }

    @Test
    fun aBrokenStreamIsReportedAtOnceAndItsMemoryFreedWhenTheCancelIsConfirmed() {
        bench.run()
        val effects = bench.report(first, failed(FaultCause.CONNECTION_LOST))
        assertEquals(6, effects.sent<PeerMessage.AttemptFailed>().single().load?.piecesFree)
        assertEquals(1, effects.count { it is CompanionEffect.CancelCall })
        bench.cancelEnded(true)
        assertEquals(DECODE_PIECES, bench.load(DECODE).piecesFree)
    }

    private fun CompanionHarness.grant() = receive(reserve(first, 4))

    private fun CompanionHarness.run(): List<CompanionEffect> {
        grant()
        return receive(startDecode(first))
    }

    private fun CompanionHarness.cancel() = receive(PeerMessage.Cancel(first))

    private fun CompanionHarness.cancelEnded(confirmed: Boolean) = handle(CompanionEvent.CancelEnded(first, confirmed))
}
