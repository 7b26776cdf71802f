package org.lovageladder.core

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CompanionTest {
    private val harness = CompanionHarness()
    private val first = attempt(1)

    @Test
    fun itIsReadyOnceTheReleaseIsInForceAndOrphansAreCancelledOnEveryEngine() {
        harness.answerStore(harness.handle(CompanionEvent.TimePassed), found(listOf(firstNote())))
        assertEquals(setOf(DECODE, PREFILL), harness.listedUpstreams().toSet())
        harness.handle(CompanionEvent.RunningListed(PREFILL, emptyList()))
        harness.handle(CompanionEvent.RunningListed(DECODE, null))
        assertFalse(harness.companion.isReady)
        harness.advanceTime(100.milliseconds)
        harness.handle(CompanionEvent.RunningListed(DECODE, listOf("old.1", "old.2")))
        harness.handle(CompanionEvent.OrphanCancelEnded(DECODE, "old.1", confirmed = true))
        harness.handle(CompanionEvent.OrphanCancelEnded(DECODE, "old.2", confirmed = false))
        assertFalse(harness.companion.isReady)
        harness.advanceTime(100.milliseconds)
        harness.handle(CompanionEvent.RunningListed(DECODE, listOf("old.2")))
        harness.handle(CompanionEvent.OrphanCancelEnded(DECODE, "old.2", confirmed = true))
        assertFalse(harness.companion.isReady)
        harness.handle(CompanionEvent.RunningListed(DECODE, emptyList()))
        assertTrue(harness.companion.isReady)
        assertEquals(2, harness.effects.recorded().count { it == EventKind.ORPHAN_CANCELLED })
    }

    @Test
    fun workIsRefusedBeforeItIsReady() {
        harness.connect()
        val refused = harness.receive(reserve(first)).sent<PeerMessage.Refused>().single()
        assertTrue(refused.retryAfter.isPositive())
    }

    @Test
    fun itFetchesTheReleaseFromAnEntryWhileTheStoreIsUnavailable() {
        harness.answerStore(harness.handle(CompanionEvent.TimePassed), unavailable())
        harness.connect()
        val newerRelease = Envelope(ReleaseVersion(1), HybridTime(0, 0), PeerMessage.Heartbeat(1))
        val fetches = harness.handle(CompanionEvent.Received(ENTRY, newerRelease)).sent<PeerMessage.FetchNotes>()
        val fetch = if (fetches.isEmpty()) harness.effects.sent<PeerMessage.FetchNotes>().first() else fetches.single()
        assertEquals(ReleaseVersion.NONE, fetch.after)
        harness.receive(PeerMessage.Notes(listOf(firstNote())))
        harness.listedUpstreams().forEach { harness.handle(CompanionEvent.RunningListed(it, emptyList())) }
        assertTrue(harness.companion.isReady)
        assertEquals(1, harness.receive(reserve(first)).sent<PeerMessage.Granted>().size)
    }

    @Test
    fun olderNotesAreNotApplied() {
        harness.makeReady(listOf(firstNote(), note(2, changed = listOf(DECODE_ENTRY.copy(pieces = 20)))))
        harness.answerStore(harness.advanceTime(6.seconds), found(listOf(firstNote())))
        assertEquals(ReleaseVersion(2), harness.companion.release)
        assertEquals(20, harness.load(DECODE).piecesTotal)
        harness.connect()
        val notes = harness.receive(PeerMessage.FetchNotes(ReleaseVersion(1))).sent<PeerMessage.Notes>().single()
        assertEquals(listOf(2L), notes.notes.map { it.version.number })
    }

    @Test
    fun theAttemptsOfALostOrSilentEntryAreCancelled() {
        val endings = listOf<Pair<String, CompanionHarness.() -> Unit>>(
            "disconnected" to { disconnect() },
            "silent" to { advanceTime(3.seconds + 1.milliseconds) },
            "connected again" to { connect(ConnectionId(9), process = "entry-1") },
        )
        for ((name, end) in endings) {
            val harness = CompanionHarness().makeReady().also { it.connect() }
            harness.receive(reserve(first, 4, holdAtMost = 60.seconds))
            harness.receive(reserve(attempt(2), 10, waitAtMost = 60.seconds))
            harness.receive(startPrefill(attempt(3), finishWithin = 60.seconds))
            harness.end()
            assertEquals(DECODE_PIECES, harness.load(DECODE).piecesFree, name)
            assertEquals(0, harness.load(DECODE).waiting, name)
            val cancelled = harness.effects.filterIsInstance<CompanionEffect.CancelCall>().map { it.attempt }
            assertEquals(listOf(attempt(3)), cancelled, name)
            if (name != "disconnected") assertTrue(CompanionEffect.Disconnect(ENTRY) in harness.effects, name)
        }
    }

    @Test
    fun aHeartbeatIsAnsweredWithTheLoadsThatChanged() {
        harness.makeReady().connect()
        assertEquals(3, harness.receive(PeerMessage.Heartbeat(1)).sent<PeerMessage.Loads>().single().loads.size)
        assertEquals(0, harness.receive(PeerMessage.Heartbeat(2)).sent<PeerMessage.Loads>().single().loads.size)
        harness.receive(reserve(first))
        val loads = harness.receive(PeerMessage.Heartbeat(3)).sent<PeerMessage.Loads>().single()
        assertEquals(listOf(DECODE), loads.loads.map { it.upstream })
    }

    @Test
    fun afterASuspensionNothingIsGrantedOrStartedBeforeTheReleaseIsReadAgain() {
        harness.makeReady()
        harness.advanceTime(100.milliseconds)
        harness.suspendFor(4.seconds)
        val readEffects = harness.connect()
        val effects = harness.receive(reserve(first, waitAtMost = 2.seconds)) +
            harness.receive(startPrefill(attempt(2))) +
            harness.receive(startPlain(attempt(3), claim()))
        assertEquals(emptyList(), effects.messages())
        assertEquals(0, effects.count { it is CompanionEffect.StartCall })
        val after = harness.answerStore(readEffects, found(emptyList()))
        assertEquals(1, after.sent<PeerMessage.Granted>().size)
        assertEquals(2, after.count { it is CompanionEffect.StartCall })
    }

    @Test
    fun aReadBegunBeforeASuspensionDoesNotCountAsFresh() {
        harness.makeReady()
        val oldRead = harness.advanceTime(5.seconds).filter { it is CompanionEffect.CallStore }
        harness.suspendFor(4.seconds)
        harness.connect()
        harness.answerStore(oldRead, found(emptyList()))
        assertEquals(emptyList(), harness.receive(reserve(first)).messages())
    }

    @Test
    fun aSuspensionClosesTheConnectionsThatWereSilentDuringIt() {
        harness.makeReady().connect()
        harness.receive(reserve(first, holdAtMost = 60.seconds))
        harness.suspendFor(4.seconds)
        val effects = harness.receive(startDecode(first))
        assertTrue(CompanionEffect.Disconnect(ENTRY) in effects)
        assertEquals(0, effects.count { it is CompanionEffect.StartCall })
        assertEquals(DECODE_PIECES, harness.load(DECODE).piecesFree)
    }

    @Test
    fun orphansOfAnEngineAddedLaterAreCancelledBeforeItIsUsed() {
        harness.makeReady().connect()
        val added = DECODE_ENTRY.copy(name = UpstreamName("decode-b"))
        harness.receive(PeerMessage.Notes(listOf(note(2, added = listOf(added)))))
        val early = harness.receive(reserve(first).copy(upstream = added.name))
        assertIs<PeerMessage.Refused>(early.messages().single())
        harness.handle(CompanionEvent.RunningListed(added.name, emptyList()))
        val later = harness.receive(reserve(attempt(2)).copy(upstream = added.name))
        assertIs<PeerMessage.Granted>(later.messages().single())
    }
}

private fun CompanionHarness.listedUpstreams(): List<UpstreamName> =
    effects.filterIsInstance<CompanionEffect.ListRunning>().map { it.upstream.name }
