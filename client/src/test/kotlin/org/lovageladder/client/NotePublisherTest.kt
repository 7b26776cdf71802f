package org.lovageladder.client

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.Address
import org.lovageladder.core.KeyValueStore
import org.lovageladder.core.NoteId
import org.lovageladder.core.PoolName
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.ReleaseNote
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.writeReleaseNote
import org.lovageladder.http.openEtcdStore
import org.lovageladder.standin.KeyValueStandIn
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NotePublisherTest {
    private val service = KeyValueStandIn.start()
    private val store = openEtcdStore(listOf(Address("127.0.0.1", service.port)))

    @AfterTest
    fun close() {
        store.close()
        service.close()
    }

    private fun document(id: String, base: Long = 0, pool: String = "pool-$id"): NoteDocument {
        val added = ReleaseEntry.Pool(PoolName(pool), PoolRole.PLAIN)
        val note = ReleaseNote(NoteId(id), ReleaseVersion(base), added = listOf(added))
        return NoteDocument("$id.json", writeReleaseNote(note), note)
    }

    private fun publish(
        document: NoteDocument,
        through: KeyValueStore = store,
        giveUpAfter: Duration = 10.seconds,
    ): Result<Publication, ClientFailure> =
        NotePublisher(NoteStore(through), giveUpAfter, 1.milliseconds).publish(document)

    private fun history(): List<String> =
        NoteStore(store).readHistory("unreadable").unwrap().notes.map { it.note.id.text }

    @Test
    fun notesAreAcceptedInOrderAndRecognisedWhenPublishedAgain() {
        assertEquals(1, publish(document("a")).unwrap().accepted.version.number)
        assertEquals(2, publish(document("b", base = 1)).unwrap().accepted.version.number)
        val again = publish(document("a")).unwrap()
        assertEquals(1, again.accepted.version.number)
        assertEquals(true, again.earlier)
        assertEquals(listOf("a", "b"), history())
    }

    private data class Refusal(val name: String, val document: NoteDocument, val exitCode: ExitCode, val says: String)

    @Test
    fun aNoteThatCannotFollowIsRefusedAndNothingIsWritten() {
        publish(document("a")).unwrap()
        publish(document("b", base = 1)).unwrap()
        val refusals = listOf(
            Refusal("base behind", document("c", base = 1), ExitCode.CONFLICT, "'b': adds pool pool-b"),
            Refusal("base ahead", document("c", base = 3), ExitCode.BAD_INPUT, "c.json:3: base is 3; allowed"),
            Refusal("base below 0", document("c", base = -1), ExitCode.BAD_INPUT, "c.json:3: base is -1"),
            Refusal(
                "name there",
                document("c", base = 2, pool = "pool-a"),
                ExitCode.BAD_INPUT,
                "c.json:7: added[0].name",
            ),
            Refusal("id of another", document("a", pool = "other"), ExitCode.CONFLICT, "version 1"),
        )
        for (refusal in refusals) {
            val failure = publish(refusal.document).getError()
            assertEquals(refusal.exitCode, failure?.exitCode, "${refusal.name}: $failure")
            assertEquals(true, failure?.message?.contains(refusal.says), "${refusal.name}: ${failure?.message}")
        }
        assertEquals(listOf("a", "b"), history())
    }

    @Test
    fun ofRacingPublishersOneWinsEachVersion() {
        val rounds = 20
        val racers = 4
        val threads = Executors.newFixedThreadPool(racers)
        for (round in 0 until rounds) {
            val race = List(racers) { Callable { publish(document("note-$round-$it", base = round.toLong())) } }
            val results = threads.invokeAll(race).map { it.get() }
            assertEquals(1, results.count { it.isOk }, "round $round: $results")
            for (loser in results.filter { it.isErr }) {
                val conflict = assertIs<ClientFailure.NoteConflict>(loser.getError())
                assertEquals(listOf(round + 1L), conflict.since.map { it.version.number })
            }
        }
        threads.shutdown()
        assertEquals(rounds, history().size)
    }

    @Test
    fun aStoredNoteThatFailsTheChecksCountsAsEmpty() {
        publish(document("a")).unwrap()
        val faulty = AcceptedNote(ReleaseVersion(2), document("a", base = 1).note)
        assertIs<StoreAnswer.Written>(NoteStore(store).create(faulty))
        val history = NoteStore(store).readHistory("unreadable").unwrap()
        assertEquals(listOf(2L), history.withoutEffect.map { it.version.number })
        assertEquals(3, publish(document("b", base = 2)).unwrap().accepted.version.number)
    }

    @Test
    fun aMissingVersionIsReported() {
        NoteStore(store).create(AcceptedNote(ReleaseVersion(2), document("a", base = 1).note))
        val failure = assertIs<ClientFailure.HistoryUnreadable>(publish(document("b")).getError())
        assertEquals("notes/00000000000000000001", failure.key)
    }

    @Test
    fun aLostAnswerIsResolvedByWhatStandsAtTheVersion() {
        inject("""{"lose_answers": 3}""")
        assertEquals(1, publish(document("a")).unwrap().accepted.version.number)
        assertEquals(listOf("a"), history())
    }

    @Test
    fun anotherNoteThatWinsWhileTheAnswerIsLostIsAConflict() {
        val racing = OnFirstWrite(store) { publish(document("winner")).unwrap() }
        val conflict = assertIs<ClientFailure.NoteConflict>(publish(document("loser"), racing).getError())
        assertEquals(listOf("winner"), conflict.since.map { it.note.id.text })
        assertEquals(listOf("winner"), history())
    }

    @Test
    fun anOutageBeforeTheWriteSaysThatNothingWasSent() {
        inject("""{"down_ms": 600000}""")
        val failure = assertIs<ClientFailure.StoreUnreachable>(publish(document("a")).getError())
        assertEquals("not accepted, nothing was sent", failure.consequence)
        inject("""{"down_ms": 0}""")
        assertEquals(emptyList(), history())
    }

    private data class Outage(val name: String, val fault: String, val accepted: List<String>)

    @Test
    fun anOutageDuringTheWriteIsUnknownAndPublishingAgainSettlesIt() {
        val outages = listOf(
            Outage("before the effect", """{"down_ms": 600000}""", emptyList()),
            Outage("after the effect", """{"lose_answers": 1000000}""", listOf("a")),
        )
        for (outage in outages) {
            KeyValueStandIn.start().use { service ->
                openEtcdStore(listOf(Address("127.0.0.1", service.port))).use { store ->
                    val failing = OnFirstWrite(store) { injectFault(service.port, outage.fault) }
                    val failure = publish(document("a"), failing, giveUpAfter = 20.milliseconds).getError()
                    assertIs<ClientFailure.PublicationUnknown>(failure, outage.name)
                    injectFault(service.port, """{"down_ms": 0, "lose_answers": 0}""")
                    val notes = NoteStore(store).readHistory("unreadable").unwrap().notes
                    assertEquals(outage.accepted, notes.map { it.note.id.text }, outage.name)
                    val settled = publish(document("a"), store).unwrap()
                    assertEquals(1, settled.accepted.version.number, outage.name)
                    assertEquals(outage.accepted.isNotEmpty(), settled.earlier, outage.name)
                }
            }
        }
    }

    private fun inject(fault: String) = injectFault(service.port, fault)
}

/** Runs [action] once, before the first write is passed on. */
private class OnFirstWrite(private val store: KeyValueStore, private val action: () -> Unit) : KeyValueStore by store {
    private var pending = true

    override fun call(request: StoreRequest, timeout: Duration, answer: (StoreAnswer) -> Unit) {
        if (pending && request is StoreRequest.Create) {
            pending = false
            action()
        }
        store.call(request, timeout, answer)
    }
}
