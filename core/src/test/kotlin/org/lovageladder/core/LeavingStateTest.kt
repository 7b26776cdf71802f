package org.lovageladder.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LeavingStateTest {
    private val harness = CompanionHarness().makeReady().also { it.connect() }

    private class Row(val name: String, val beginLeaving: CompanionHarness.() -> Unit, val mustExit: Boolean)

    private val rows = listOf(
        Row("stop", { handle(CompanionEvent.StopRequested) }, mustExit = true),
        Row("listed", { handle(CompanionEvent.HostsListed(listOf(ListedHost(HOST, PLACE, true)))) }, mustExit = false),
        Row("withdrawn", { receive(PeerMessage.Notes(listOf(noteWithdrawingTheHost()))) }, mustExit = false),
    )

    @Test
    fun aLeavingCompanionAnnouncesItRefusesNewWorkAndFinishesGrantedAndStartedAttempts() {
        for (row in rows) {
            val harness = CompanionHarness().makeReady().also { it.connect() }
            harness.receive(reserve(attempt(1), 10, holdAtMost = 60.seconds))
            harness.receive(reserve(attempt(2), 10, waitAtMost = 60.seconds))
            harness.receive(startPrefill(attempt(3)))
            harness.receive(startPlain(attempt(4), claim()))
            row.beginLeaving(harness)
            assertEquals(1, harness.effects.sent<PeerMessage.Leaving>().size, row.name)
            assertEquals(listOf(attempt(2)), harness.refusals(FaultCause.LEAVING), row.name)
            harness.receive(reserve(attempt(11)))
            harness.receive(startPrefill(attempt(12)))
            harness.receive(startPlain(attempt(13)))
            harness.receive(startPlain(attempt(14), claim(1, "other")))
            assertEquals(listOf(2, 11, 12, 13, 14).map(::attempt), harness.refusals(FaultCause.LEAVING), row.name)
            harness.finishAll()
            assertEquals(row.mustExit, CompanionEffect.Exit in harness.effects, row.name)
        }
    }

    @Test
    fun theExitWaitsUntilTheAnswersOfClaimedCallsAreStored() {
        harness.receive(startPlain(attempt(1), claim()))
        harness.handle(CompanionEvent.StopRequested)
        val write = harness.report(attempt(1), UpstreamReport.Answered(ANSWER))
        assertTrue(CompanionEffect.Exit !in harness.effects)
        assertTrue(CompanionEffect.Exit in harness.answerStore(write, StoreAnswer.Written(50)))
        assertEquals(1, harness.effects.count { it == CompanionEffect.Exit })
    }

    @Test
    fun anIdleCompanionExitsAtOnceAndOnlyOnce() {
        assertTrue(CompanionEffect.Exit in harness.handle(CompanionEvent.StopRequested))
        harness.handle(CompanionEvent.StopRequested)
        assertEquals(1, harness.effects.count { it == CompanionEffect.Exit })
    }

    @Test
    fun aNewConnectionIsToldThatTheHostIsLeaving() {
        harness.receive(reserve(attempt(1)))
        harness.handle(CompanionEvent.StopRequested)
        assertTrue(harness.companion.status(harness.now).leaving)
        assertEquals(listOf(PeerMessage.Leaving(HOST)), harness.connect(OTHER_ENTRY).messages(OTHER_ENTRY))
    }

    @Test
    fun aWithdrawnUpstreamDrainsWhileOthersKeepWorking() {
        harness.receive(reserve(attempt(1), 10))
        harness.receive(reserve(attempt(2), 10))
        val note = note(2, withdrawn = listOf(DECODE_ENTRY.key))
        val effects = harness.receive(PeerMessage.Notes(listOf(note)))
        assertEquals(0, effects.sent<PeerMessage.Leaving>().size)
        assertEquals(listOf(attempt(2)), harness.refusals(FaultCause.LEAVING))
        assertIs<PeerMessage.Refused>(harness.receive(reserve(attempt(3))).messages().single())
        assertEquals(1, harness.receive(startDecode(attempt(1))).count { it is CompanionEffect.StartCall })
        val finished = harness.report(attempt(1), UpstreamReport.Finished(1, "stop")).messages().single()
        assertIs<PeerMessage.DecodeFinished>(finished)
        assertEquals(1, harness.receive(startPrefill(attempt(4))).count { it is CompanionEffect.StartCall })
    }

    @Test
    fun anUpstreamAddedAgainIsUsedOnlyAfterItsOldCallsHaveEnded() {
        harness.receive(reserve(attempt(1), 10))
        harness.receive(startDecode(attempt(1)))
        harness.receive(PeerMessage.Notes(listOf(note(2, withdrawn = listOf(DECODE_ENTRY.key)))))
        harness.receive(PeerMessage.Notes(listOf(note(3, added = listOf(DECODE_ENTRY)))))
        harness.handle(CompanionEvent.RunningListed(DECODE, listOf(attempt(1).toString())))
        assertEquals(0, harness.effects.count { it is CompanionEffect.CancelOrphan })
        assertIs<PeerMessage.Refused>(harness.receive(reserve(attempt(2))).messages().single())
        harness.report(attempt(1), UpstreamReport.Finished(1, "stop"))
        assertIs<PeerMessage.Granted>(harness.receive(reserve(attempt(3))).messages().single())
    }

    private fun CompanionHarness.refusals(cause: FaultCause) =
        effects.sent<PeerMessage.Refused>().filter { it.fault.cause == cause }.map { it.attempt }

    private fun CompanionHarness.finishAll() {
        receive(startDecode(attempt(1)))
        report(attempt(1), UpstreamReport.Token(0, "a"))
        report(attempt(1), UpstreamReport.Finished(1, "stop"))
        report(attempt(3), UpstreamReport.PrefillReady(TICKET))
        val write = report(attempt(4), UpstreamReport.Answered(ANSWER))
        assertEquals(0, effects.count { it is CompanionEffect.CancelCall })
        val answers = effects.messages().map { it::class }
        val expected =
            listOf(PeerMessage.DecodeFinished::class, PeerMessage.PrefillReady::class, PeerMessage.PlainFinished::class)
        assertTrue(answers.containsAll(expected), "$answers")
        answerStore(write, StoreAnswer.Written(50))
    }
}

private fun noteWithdrawingTheHost() = note(
    2,
    withdrawn = listOf(EntryKey(EntryKind.HOST, HOST.text), DECODE_ENTRY.key, PREFILL_ENTRY.key, PLAIN_ENTRY.key),
)
