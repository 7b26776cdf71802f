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
    private val keyValueService = KeyValueStandIn.start()
    private val store = openEtcdStore(listOf(Address("127.0.0.1", keyValueService.port)))

    @AfterTest
    fun close() {
        store.close()
        keyValueService.close()
    }

    private fun document(id: String, base: Long = 0, pool: String = "pool-$id"): NoteDocument {
        val added = ReleaseEntry.Pool(PoolName(pool), PoolRole.PLAIN)
        val note = ReleaseNote(NoteId(id), ReleaseVersion(base), added = listOf(added))
        return NoteDocument("$id.json", writeReleaseNote(note), note)
    }

    private fun publish(
        document: NoteDocument,
        targetStore: KeyValueStore = store,
        retryTimeout: Duration = 10.seconds,
    ): Result<Publication, ClientFailure> =
        NotePublisher(NoteStore(targetStore), retryTimeout, 1.milliseconds).publish(document)

    private fun history(): List<String> =
        NoteStore(store).readHistory("unreadable").unwrap().notes.map { it.note.id.text }

    @Test
    fun notesAreAcceptedInOrderAndARepublishedNoteIsRecognised() {
        assertEquals(1, publish(document("a")).unwrap().accepted.version.number)
        assertEquals(2, publish(document("b", base = 1)).unwrap().accepted.version.number)
        val republished = publish(document("a")).unwrap()
        assertEquals(1, republished.accepted.version.number)
        assertEquals(true, republished.earlier)
        assertEquals(listOf("a", "b"), history())
    }

    private data class RefusalCase(
        val name: String,
        val document: NoteDocument,
        val exitCode: ExitCode,
        val expectedText: String,
    )

    @Test
    fun aNoteThatCannotFollowTheReleaseIsRefusedAndNotWritten() {
        publish(document("a")).unwrap()
        publish(document("b", base = 1)).unwrap()
        val refusals = listOf(
            RefusalCase("base behind", document("c", base = 1), ExitCode.CONFLICT, "'b': adds pool pool-b"),
            RefusalCase("base ahead", document("c", base = 3), ExitCode.BAD_INPUT, "c.json:3: base is 3; allowed"),
            RefusalCase("base below 0", document("c", base = -1), ExitCode.BAD_INPUT, "c.json:3: base is -1"),
            RefusalCase(
                "name taken",
                document("c", base = 2, pool = "pool-a"),
                ExitCode.BAD_INPUT,
                "c.json:7: added[0].name",
            ),
            RefusalCase("id of another note", document("a", pool = "other"), ExitCode.CONFLICT, "version 1"),
        )
        for (refusal in refusals) {
            val failure = publish(refusal.document).getError()
            assertEquals(refusal.exitCode, failure?.exitCode, "${refusal.name}: $failure")
            assertEquals(true, failure?.message?.contains(refusal.expectedText), "${refusal.name}: ${failure?.message}")
        }
        assertEquals(listOf("a", "b"), history())
    }

    @Test
    fun oneOfSeveralConcurrentPublishersSucceedsForEachVersion() {
        val rounds = 20
        val publishers = 4
        val threads = Executors.newFixedThreadPool(publishers)
        for (round in 0 until rounds) {
            val publications = List(publishers) {
                Callable { publish(document("note-$round-$it", base = round.toLong())) }
            }
            val results = threads.invokeAll(publications).map { it.get() }
            assertEquals(1, results.count { it.isOk }, "round $round: $results")
            for (refused in results.filter { it.isErr }) {
                val conflict = assertIs<ClientFailure.NoteConflict>(refused.getError())
                assertEquals(listOf(round + 1L), conflict.newerNotes.map { it.version.number })
            }
        }
        threads.shutdown()
        assertEquals(rounds, history().size)
    }

    @Test
    fun aStoredNoteThatFailsTheChecksHasNoEffectButKeepsItsVersion() {
        publish(document("a")).unwrap()
        val ineffectiveNote = AcceptedNote(ReleaseVersion(2), document("a", base = 1).note)
        assertIs<StoreAnswer.Written>(NoteStore(store).create(ineffectiveNote))
        val history = NoteStore(store).readHistory("unreadable").unwrap()
        assertEquals(listOf(2L), history.ineffectiveNotes.map { it.version.number })
        assertEquals(3, publish(document("b", base = 2)).unwrap().accepted.version.number)
    }

    @Test
    fun aMissingVersionIsReported() {
        NoteStore(store).create(AcceptedNote(ReleaseVersion(2), document("a", base = 1).note))
        val failure = assertIs<ClientFailure.HistoryUnreadable>(publish(document("b")).getError())
        assertEquals("notes/00000000000000000001", failure.key)
    }

    @Test
    fun aLostAnswerIsResolvedByTheNoteStoredUnderTheVersion() {
        inject("""{"lose_answers": 3}""")
        assertEquals(1, publish(document("a")).unwrap().accepted.version.number)
        assertEquals(listOf("a"), history())
    }

    @Test
    fun anotherNoteCreatedUnderTheSameVersionIsAConflict() {
        val interceptor = FirstCreateInterceptor(store) { publish(document("first")).unwrap() }
        val conflict = assertIs<ClientFailure.NoteConflict>(publish(document("second"), interceptor).getError())
        assertEquals(listOf("first"), conflict.newerNotes.map { it.note.id.text })
        assertEquals(listOf("first"), history())
    }

    @Test
    fun anOutageBeforeTheWriteIsReportedAsNothingSent() {
        inject("""{"down_ms": 600000}""")
        val failure = assertIs<ClientFailure.StoreUnreachable>(publish(document("a")).getError())
        assertEquals("not accepted, nothing was sent", failure.consequence)
        inject("""{"down_ms": 0}""")
        assertEquals(emptyList(), history())
    }

    private data class OutageCase(val name: String, val fault: String, val accepted: List<String>)

    @Test
    fun anOutageDuringTheWriteIsReportedAsUnknownAndRepublishingResolvesIt() {
        val outages = listOf(
            OutageCase("before the effect", """{"down_ms": 600000}""", emptyList()),
            OutageCase("after the effect", """{"lose_answers": 1000000}""", listOf("a")),
        )
        for (outage in outages) {
            KeyValueStandIn.start().use { keyValueService ->
                openEtcdStore(listOf(Address("127.0.0.1", keyValueService.port))).use { store ->
                    val interceptor = FirstCreateInterceptor(store) { injectFault(keyValueService.port, outage.fault) }
                    val failure = publish(document("a"), interceptor, retryTimeout = 20.milliseconds).getError()
                    assertIs<ClientFailure.PublicationUnknown>(failure, outage.name)
                    injectFault(keyValueService.port, """{"down_ms": 0, "lose_answers": 0}""")
                    val notes = NoteStore(store).readHistory("unreadable").unwrap().notes
                    assertEquals(outage.accepted, notes.map { it.note.id.text }, outage.name)
                    val republished = publish(document("a"), store).unwrap()
                    assertEquals(1, republished.accepted.version.number, outage.name)
                    assertEquals(outage.accepted.isNotEmpty(), republished.earlier, outage.name)
                }
            }
        }
    }

    private fun inject(fault: String) = injectFault(keyValueService.port, fault)
}

/** Passes calls to [store]; runs [action] once, before the first create request. */
private class FirstCreateInterceptor(private val store: KeyValueStore, private val action: () -> Unit) :
    KeyValueStore by store {
    private var isPending = true

    override fun call(request: StoreRequest, timeout: Duration, answer: (StoreAnswer) -> Unit) {
        if (isPending && request is StoreRequest.Create) {
            isPending = false
            action()
        }
        store.call(request, timeout, answer)
    }
}
