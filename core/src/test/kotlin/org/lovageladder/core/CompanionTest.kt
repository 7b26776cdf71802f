package org.lovageladder.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CompanionTest {
    private val bench = CompanionHarness()
    private val first = attempt(1)

    @Test
    fun itIsReadyOnceTheReleaseIsInForceAndEveryEngineIsCleared() {
        bench.answerStore(bench.handle(CompanionEvent.TimePassed), found(listOf(firstNote())))
        assertEquals(setOf(DECODE, PREFILL), bench.listings().toSet())
        bench.handle(CompanionEvent.RunningListed(PREFILL, emptyList()))
        bench.handle(CompanionEvent.RunningListed(DECODE, null))
        assertFalse(bench.companion.ready)
        bench.pass(100.milliseconds)
        bench.handle(CompanionEvent.RunningListed(DECODE, listOf("old.1", "old.2")))
        bench.handle(CompanionEvent.OrphanEnded(DECODE, "old.1", confirmed = true))
        bench.handle(CompanionEvent.OrphanEnded(DECODE, "old.2", confirmed = false))
        assertFalse(bench.companion.ready)
        bench.pass(100.milliseconds)
        bench.handle(CompanionEvent.RunningListed(DECODE, listOf("old.2")))
        bench.handle(CompanionEvent.OrphanEnded(DECODE, "old.2", confirmed = true))
        assertFalse(bench.companion.ready)
        bench.handle(CompanionEvent.RunningListed(DECODE, emptyList()))
        assertTrue(bench.companion.ready)
        assertEquals(2, bench.effects.recorded().count { it == EventKind.ORPHAN_CANCELLED })
    }

    @Test
    fun nothingIsTakenBeforeItIsReady() {
        bench.connect()
        val refused = bench.receive(reserve(first)).sent<PeerMessage.Refused>().single()
        assertTrue(refused.retryAfter.isPositive())
    }

    @Test
    fun itTakesTheReleaseFromAnEntryWhileTheStoreIsAway() {
        bench.answerStore(bench.handle(CompanionEvent.TimePassed), unavailable())
        bench.connect()
        val ahead = Envelope(ReleaseVersion(1), HybridTime(0, 0), PeerMessage.Heartbeat(1))
        val asked = bench.handle(CompanionEvent.Received(ENTRY, ahead)).sent<PeerMessage.FetchNotes>()
        val fetch = if (asked.isEmpty()) bench.effects.sent<PeerMessage.FetchNotes>().first() else asked.single()
        assertEquals(ReleaseVersion.NONE, fetch.after)
        bench.receive(PeerMessage.Notes(listOf(firstNote())))
        bench.listings().forEach { bench.handle(CompanionEvent.RunningListed(it, emptyList())) }
        assertTrue(bench.companion.ready)
        assertEquals(1, bench.receive(reserve(first)).sent<PeerMessage.Granted>().size)
    }

    @Test
    fun itNeverGoesBackToOlderNotes() {
        bench.makeReady(listOf(firstNote(), note(2, changed = listOf(DECODE_ENTRY.copy(pieces = 20)))))
        bench.answerStore(bench.pass(6.seconds), found(listOf(firstNote())))
        assertEquals(ReleaseVersion(2), bench.companion.release)
        assertEquals(20, bench.load(DECODE).piecesTotal)
        bench.connect()
        val notes = bench.receive(PeerMessage.FetchNotes(ReleaseVersion(1))).sent<PeerMessage.Notes>().single()
        assertEquals(listOf(2L), notes.notes.map { it.version.number })
    }

    @Test
    fun aLostOrSilentEntryLosesWhatItHeld() {
        val ends = listOf<Pair<String, CompanionHarness.() -> Unit>>(
            "disconnected" to { disconnect() },
            "silent" to { pass(3.seconds + 1.milliseconds) },
            "connected again" to { connect(ConnectionId(9), process = "entry-1") },
        )
        for ((name, end) in ends) {
            val bench = CompanionHarness().makeReady().also { it.connect() }
            bench.receive(reserve(first, 4, holdAtMost = 60.seconds))
            bench.receive(reserve(attempt(2), 10, waitAtMost = 60.seconds))
            bench.receive(startPrefill(attempt(3), finishWithin = 60.seconds))
            bench.end()
            assertEquals(DECODE_PIECES, bench.load(DECODE).piecesFree, name)
            assertEquals(0, bench.load(DECODE).waiting, name)
            val cancelled = bench.effects.filterIsInstance<CompanionEffect.CancelCall>().map { it.attempt }
            assertEquals(listOf(attempt(3)), cancelled, name)
            if (name != "disconnected") assertTrue(CompanionEffect.Disconnect(ENTRY) in bench.effects, name)
        }
    }

    @Test
    fun aHeartbeatIsAnsweredWithTheLoadsThatChanged() {
        bench.makeReady().connect()
        assertEquals(3, bench.receive(PeerMessage.Heartbeat(1)).sent<PeerMessage.Loads>().single().loads.size)
        assertEquals(0, bench.receive(PeerMessage.Heartbeat(2)).sent<PeerMessage.Loads>().single().loads.size)
        bench.receive(reserve(first))
        val loads = bench.receive(PeerMessage.Heartbeat(3)).sent<PeerMessage.Loads>().single()
        assertEquals(listOf(DECODE), loads.loads.map { it.upstream })
    }

    @Test
    fun afterAPauseNothingIsGrantedOrStartedBeforeTheReleaseIsReadAnew() {
        bench.makeReady()
        bench.pass(100.milliseconds)
        bench.freeze(4.seconds)
        val reading = bench.connect()
        val effects = bench.receive(reserve(first, waitAtMost = 2.seconds)) +
            bench.receive(startPrefill(attempt(2))) +
            bench.receive(startPlain(attempt(3), claim()))
        assertEquals(emptyList(), effects.messages())
        assertEquals(0, effects.count { it is CompanionEffect.StartCall })
        val after = bench.answerStore(reading, found(emptyList()))
        assertEquals(1, after.sent<PeerMessage.Granted>().size)
        assertEquals(2, after.count { it is CompanionEffect.StartCall })
    }

    @Test
    fun aReadingBegunBeforeAPauseDoesNotCountAsFresh() {
        bench.makeReady()
        val stale = bench.pass(5.seconds).filter { it is CompanionEffect.AskStore }
        bench.freeze(4.seconds)
        bench.connect()
        bench.answerStore(stale, found(emptyList()))
        assertEquals(emptyList(), bench.receive(reserve(first)).messages())
    }

    @Test
    fun aPauseDropsTheConnectionsThatWereSilentInIt() {
        bench.makeReady().connect()
        bench.receive(reserve(first, holdAtMost = 60.seconds))
        bench.freeze(4.seconds)
        val effects = bench.receive(startDecode(first))
        assertTrue(CompanionEffect.Disconnect(ENTRY) in effects)
        assertEquals(0, effects.count { it is CompanionEffect.StartCall })
        assertEquals(DECODE_PIECES, bench.load(DECODE).piecesFree)
    }

    @Test
    fun anEngineAddedLaterIsClearedBeforeItIsUsed() {
        bench.makeReady().connect()
        val added = DECODE_ENTRY.copy(name = UpstreamName("decode-b"))
        bench.receive(PeerMessage.Notes(listOf(note(2, added = listOf(added)))))
        val early = bench.receive(reserve(first).copy(upstream = added.name))
        assertIs<PeerMessage.Refused>(early.messages().single())
        bench.handle(CompanionEvent.RunningListed(added.name, emptyList()))
        val later = bench.receive(reserve(attempt(2)).copy(upstream = added.name))
        assertIs<PeerMessage.Granted>(later.messages().single())
    }
}

private fun CompanionHarness.listings(): List<UpstreamName> =
    effects.filterIsInstance<CompanionEffect.ListRunning>().map { it.upstream.name }
