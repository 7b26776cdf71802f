package org.lovageladder.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val FINISHED = UpstreamReport.Finished(3, "stop")

class DecodeSchedulerTest {
    private val harness = CompanionHarness().makeReady().also { it.connect() }
    private val first = attempt(1)
    private val second = attempt(2)

    private class Row(val name: String, val steps: CompanionHarness.() -> Unit, val free: Int)

    @Test
    fun memoryIsAllocatedUntilTheEngineHoldsNothing() {
        val rows = listOf(
            Row("granted", { grant() }, 6),
            Row("running", { startDecoding() }, 6),
            Row("finished", { startDecoding().also { report(first, FINISHED) } }, 10),
            Row("crashed", { startDecoding().also { report(first, failed(FaultCause.CRASHED)) } }, 10),
            Row("connection lost", { startDecoding().also { report(first, failed(FaultCause.CONNECTION_LOST)) } }, 6),
            Row("cancelled, granted", { grant().also { cancel() } }, 10),
            Row("cancelled, running", { startDecoding().also { cancel() } }, 6),
            Row("cancelled, unconfirmed", { startDecoding().also { cancel() }.also { endCancel(false) } }, 6),
            Row("cancelled, confirmed", { startDecoding().also { cancel() }.also { endCancel(true) } }, 10),
            Row("cancelled, then finished", { startDecoding().also { cancel() }.also { report(first, FINISHED) } }, 10),
            Row("owner lost, granted", { grant().also { disconnect() } }, 10),
            Row("owner lost, running", { startDecoding().also { disconnect() } }, 6),
            Row("lapsed", { grant().also { advanceTime(2.seconds) } }, 10),
            Row("reserved twice", { grant().also { grant() } }, 6),
            Row("started twice", { startDecoding().also { receive(startDecode(first)) } }, 6),
            Row("cancelled before reserving", { cancel().also { grant() } }, 10),
            Row("reserved after its end", { startDecoding().also { report(first, FINISHED) }.also { grant() } }, 10),
        )
        for (row in rows) {
            val harness = CompanionHarness().makeReady().also { it.connect() }
            row.steps(harness)
            assertEquals(row.free, harness.load(DECODE).piecesFree, row.name)
        }
    }

    @Test
    fun nothingIsSentAboutACancelledAttempt() {
        val reports = listOf(
            FINISHED,
            UpstreamReport.Token(0, "a"),
            failed(FaultCause.CRASHED),
            failed(FaultCause.CONNECTION_LOST),
        )
        for (report in reports) {
            val harness = CompanionHarness().makeReady().also { it.connect() }
            harness.startDecoding()
            harness.cancel()
            assertEquals(emptyList(), harness.report(first, report).messages(), report.toString())
        }
    }

    @Test
    fun aCancelAfterTheLastReportIsIgnored() {
        harness.startDecoding()
        harness.report(first, FINISHED)
        assertEquals(emptyList(), harness.cancel())
        assertEquals(emptyList(), harness.endCancel(true).filter { it !is CompanionEffect.Record })
        assertEquals(DECODE_PIECES, harness.load(DECODE).piecesFree)
    }

    @Test
    fun anUnconfirmedCancelIsRepeatedInEachInterval() {
        harness.startDecoding()
        assertEquals(1, harness.cancel().count { it is CompanionEffect.CancelCall })
        repeat(3) {
            val ended = harness.endCancel(false)
            assertTrue(EventKind.CANCEL_UNCONFIRMED in ended.recorded())
            assertEquals(1, harness.advanceTime(100.milliseconds).count { it is CompanionEffect.CancelCall })
        }
        harness.endCancel(true)
        assertEquals(0, harness.advanceTime(1.seconds).count { it is CompanionEffect.CancelCall })
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
            val harness = CompanionHarness().makeReady().also { it.connect() }
            if (row.heldBefore > 0) harness.receive(reserve(second, row.heldBefore))
            val sent = harness.receive(reserve(first, row.pieces, waitAtMost = row.wait)).messages().single()
            when (row.cause) {
                null -> assertEquals(first, (sent as PeerMessage.Granted).attempt, row.name)
                else -> assertEquals(row.cause, (sent as PeerMessage.Refused).fault.cause, row.name)
            }
        }
    }

    @Test
    fun aWaitingReservationIsGrantedWhenMemoryIsFreedAndRefusedAtItsDeadline() {
        harness.receive(reserve(first, 10))
        assertEquals(emptyList(), harness.receive(reserve(second, 1, waitAtMost = 1.seconds)).messages())
        assertEquals(emptyList(), harness.receive(reserve(attempt(3), 10, waitAtMost = 500.milliseconds)).messages())
        val refused = harness.advanceTime(500.milliseconds).sent<PeerMessage.Refused>().single()
        assertEquals(attempt(3), refused.attempt)
        assertTrue(refused.retryAfter > Duration.ZERO)
        assertEquals(second, harness.cancel().sent<PeerMessage.Granted>().single().attempt)
    }

    @Test
    fun waitingReservationsAreGrantedByWorthThenDeadlineThenArrival() {
        harness.receive(reserve(first, 10))
        harness.receive(reserve(attempt(2), 5, worth = 1.0, waitAtMost = 900.milliseconds))
        harness.receive(reserve(attempt(3), 5, worth = 1.0, waitAtMost = 800.milliseconds))
        harness.receive(reserve(attempt(4), 5, worth = 2.0, waitAtMost = 1.seconds))
        harness.receive(reserve(attempt(5), 5, worth = 1.0, waitAtMost = 800.milliseconds))
        val granted = harness.cancel().sent<PeerMessage.Granted>().map { it.attempt.number }
        assertEquals(listOf(4, 3), granted)
    }

    @Test
    fun aFullQueueKeepsTheAttemptsOfHighestWorth() {
        val harness =
            CompanionHarness(CompanionHarness().settings.copy(queueLimit = 2)).makeReady().also { it.connect() }
        harness.receive(reserve(first, 10))
        harness.receive(reserve(attempt(2), worth = 2.0))
        harness.receive(reserve(attempt(3), worth = 1.0))
        val refusedNew = harness.receive(reserve(attempt(4), worth = 0.5)).sent<PeerMessage.Refused>().single()
        val refusedLast = harness.receive(reserve(attempt(5), worth = 3.0)).sent<PeerMessage.Refused>().single()
        assertEquals(listOf(4, 3), listOf(refusedNew, refusedLast).map { it.attempt.number })
    }

    @Test
    fun theRunningLimitCountsReservationsToo() {
        val granted = (1..5).map { harness.receive(reserve(attempt(it))).sent<PeerMessage.Granted>().size }
        assertEquals(listOf(1, 1, 1, 1, 0), granted)
    }

    @Test
    fun aReservationWithoutHoldTimeIsRefused() {
        val refused = harness.receive(reserve(first, holdAtMost = Duration.ZERO)).messages().single()
        assertEquals(FaultCause.PROTOCOL, (refused as PeerMessage.Refused).fault.cause)
    }

    @Test
    fun aLapsedReservationCannotBeUsed() {
        harness.grant()
        assertTrue(EventKind.RESERVATION_LAPSED in harness.advanceTime(2.seconds).recorded())
        val refused = harness.receive(startDecode(first)).messages().single() as PeerMessage.Refused
        assertEquals(FaultCause.EXPIRED, refused.fault.cause)
        assertEquals(emptyList(), harness.receive(startDecode(first)).messages())
    }

    @Test
    fun aStreamSendsTokensFromTheRequestedIndex() {
        harness.receive(reserve(first))
        harness.receive(startDecode(first, fromIndex = 1))
        val sent = (0..2).flatMap { harness.report(first, UpstreamReport.Token(it, "t$it")).messages() } +
            harness.report(first, FINISHED).messages()
        assertEquals(listOf(1, 2), sent.filterIsInstance<PeerMessage.TokenProduced>().map { it.index })
        assertEquals(DECODE_PIECES, (sent.last() as PeerMessage.DecodeFinished).load.piecesFree)
    }

    @Test
    fun aLostConnectionIsReportedAtOnceAndTheMemoryFreedWhenTheCancelIsConfirmed() {
        harness.startDecoding()
        val effects = harness.report(first, failed(FaultCause.CONNECTION_LOST))
        assertEquals(6, effects.sent<PeerMessage.AttemptFailed>().single().load?.piecesFree)
        assertEquals(1, effects.count { it is CompanionEffect.CancelCall })
        harness.endCancel(true)
        assertEquals(DECODE_PIECES, harness.load(DECODE).piecesFree)
    }

    private fun CompanionHarness.grant() = receive(reserve(first, 4))

    private fun CompanionHarness.startDecoding(): List<CompanionEffect> {
        grant()
        return receive(startDecode(first))
    }

    private fun CompanionHarness.cancel() = receive(PeerMessage.Cancel(first))

    private fun CompanionHarness.endCancel(confirmed: Boolean) = handle(CompanionEvent.CancelEnded(first, confirmed))
}
