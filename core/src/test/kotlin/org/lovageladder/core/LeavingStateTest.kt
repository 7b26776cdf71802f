package org.lovageladder.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LeavingStateTest {
    private val bench = CompanionHarness().makeReady().also { it.connect() }

    private class Row(val name: String, val begin: CompanionHarness.() -> Unit, val exits: Boolean)

    private val rows = listOf(
        Row("stop", { handle(CompanionEvent.StopRequested) }, exits = true),
        Row("listed", { handle(CompanionEvent.HostsListed(listOf(ListedHost(HOST, PLACE, true)))) }, exits = false),
        Row("withdrawn", { receive(PeerMessage.Notes(listOf(withdrawal()))) }, exits = false),
    )

    @Test
    fun leavingIsAnnouncedRefusesNewWorkAndFinishesWhatWasGrantedOrStarted() {
        for (row in rows) {
            val bench = CompanionHarness().makeReady().also { it.connect() }
            bench.receive(reserve(attempt(1), 10, holdAtMost = 60.seconds))
            bench.receive(reserve(attempt(2), 10, waitAtMost = 60.seconds))
            bench.receive(startPrefill(attempt(3)))
            bench.receive(startPlain(attempt(4), claim()))
            row.begin(bench)
            assertEquals(1, bench.effects.sent<PeerMessage.Leaving>().size, row.name)
            assertEquals(listOf(attempt(2)), bench.refusals(FaultCause.LEAVING), row.name)
            bench.receive(reserve(attempt(11)))
            bench.receive(startPrefill(attempt(12)))
            bench.receive(startPlain(attempt(13)))
            bench.receive(startPlain(attempt(14), claim(1, "other")))
            assertEquals(listOf(2, 11, 12, 13, 14).map(::attempt), bench.refusals(FaultCause.LEAVING), row.name)
            bench.finishAll()
            assertEquals(row.exits, CompanionEffect.Exit in bench.effects, row.name)
        }
    }

    @Test
    fun theExitWaitsUntilTheAnswersOfClaimsAreStored() {
        bench.receive(startPlain(attempt(1), claim()))
        bench.handle(CompanionEvent.StopRequested)
        val write = bench.report(attempt(1), UpstreamReport.Answered(ANSWER))
        assertTrue(CompanionEffect.Exit !in bench.effects)
        assertTrue(CompanionEffect.Exit in bench.answerStore(write, StoreAnswer.Written(50)))
        assertEquals(1, bench.effects.count { it == CompanionEffect.Exit })
    }

    @Test
    fun anIdleCompanionExitsAtOnceAndOnce() {
        assertTrue(CompanionEffect.Exit in bench.handle(CompanionEvent.StopRequested))
        bench.handle(CompanionEvent.StopRequested)
        assertEquals(1, bench.effects.count { it == CompanionEffect.Exit })
    }

    @Test
    fun aNewConnectionLearnsOfTheLeaving() {
        bench.receive(reserve(attempt(1)))
        bench.handle(CompanionEvent.StopRequested)
        assertTrue(bench.companion.status(bench.now).leaving)
        assertEquals(listOf(PeerMessage.Leaving(HOST)), bench.connect(OTHER_ENTRY).messages(OTHER_ENTRY))
    }

    @Test
    fun aWithdrawnUpstreamDrainsAlone() {
        bench.receive(reserve(attempt(1), 10))
        bench.receive(reserve(attempt(2), 10))
        val note = note(2, withdrawn = listOf(DECODE_ENTRY.key))
        val effects = bench.receive(PeerMessage.Notes(listOf(note)))
        assertEquals(0, effects.sent<PeerMessage.Leaving>().size)
        assertEquals(listOf(attempt(2)), bench.refusals(FaultCause.LEAVING))
        assertIs<PeerMessage.Refused>(bench.receive(reserve(attempt(3))).messages().single())
        assertEquals(1, bench.receive(startDecode(attempt(1))).count { it is CompanionEffect.StartCall })
        val finished = bench.report(attempt(1), UpstreamReport.Finished(1, "stop")).messages().single()
        assertIs<PeerMessage.DecodeFinished>(finished)
        assertEquals(1, bench.receive(startPrefill(attempt(4))).count { it is CompanionEffect.StartCall })
    }

    @Test
    fun anUpstreamThatComesBackWaitsForItsOldWork() {
        bench.receive(reserve(attempt(1), 10))
        bench.receive(startDecode(attempt(1)))
        bench.receive(PeerMessage.Notes(listOf(note(2, withdrawn = listOf(DECODE_ENTRY.key)))))
        bench.receive(PeerMessage.Notes(listOf(note(3, added = listOf(DECODE_ENTRY)))))
        bench.handle(CompanionEvent.RunningListed(DECODE, listOf(attempt(1).toString())))
        assertEquals(0, bench.effects.count { it is CompanionEffect.CancelOrphan })
        assertIs<PeerMessage.Refused>(bench.receive(reserve(attempt(2))).messages().single())
        bench.report(attempt(1), UpstreamReport.Finished(1, "stop"))
        assertIs<PeerMessage.Granted>(bench.receive(reserve(attempt(3))).messages().single())
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

private fun withdrawal() = note(
    2,
    withdrawn = listOf(
        EntryKey(EntryKind.HOST, HOST.text),
        DECODE_ENTRY.key,
        PREFILL_ENTRY.key,
        PLAIN_ENTRY.key,
    ),
)
