package org.lovageladder.daemon

import kotlinx.serialization.json.Json
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.KeyValueStore
import org.lovageladder.core.NoteId
import org.lovageladder.core.ReleaseNote
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.Step
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoredEntry
import org.lovageladder.core.noteStoreKey
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration

class NoteWatcherTest {
    private class StartedWatch(val changed: (StoredEntry) -> Unit, val ended: (Fault) -> Unit) {
        val closed = CompletableFuture<Unit>()
    }

    private val stored = mutableListOf<StoredEntry>()
    private val watches = LinkedBlockingQueue<StartedWatch>()
    private val received = LinkedBlockingQueue<String>()
    private val timer = Executors.newSingleThreadScheduledExecutor()

    private val store = object : KeyValueStore {
        override fun call(request: StoreRequest, timeout: Duration, answer: (StoreAnswer) -> Unit) {
            val after = (request as StoreRequest.ReadAfter).after
            answer(StoreAnswer.Found(stored.filter { it.key > after }))
        }

        override fun watch(prefix: String, changed: (StoredEntry) -> Unit, ended: (Fault) -> Unit): AutoCloseable {
            val started = StartedWatch(changed, ended)
            watches.add(started)
            return AutoCloseable { started.closed.complete(Unit) }
        }

        override fun close() = Unit
    }

    private val listener = object : NoteListener {
        override val release = ReleaseVersion(1)

        override fun onNote(note: AcceptedNote) {
            received.add(note.note.id.text)
        }

        override fun onUnreadableNote(key: String) {
            received.add("unreadable $key")
        }
    }

    private val watcher = NoteWatcher(store, timer, listener)

    @AfterTest
    fun stopTimer() {
        timer.shutdownNow()
    }

    private fun entry(version: Long): StoredEntry {
        val note = AcceptedNote(ReleaseVersion(version), ReleaseNote(NoteId("note-$version")))
        return StoredEntry(noteStoreKey(note.version), Json.encodeToString(AcceptedNote.serializer(), note), version)
    }

    private fun <T> LinkedBlockingQueue<T>.awaitNext(): T = assertNotNull(poll(20, TimeUnit.SECONDS))

    @Test
    fun brokenWatchIsRestartedAndNotesWrittenMeanwhileAreRead() {
        stored += entry(1)
        watcher.setEnabled(true)
        val first = watches.awaitNext()
        first.changed(entry(2))
        assertEquals("note-2", received.awaitNext())
        stored += entry(3)
        first.ended(Fault(Step.STORE, "store", FaultCause.CONNECTION_LOST))
        val second = watches.awaitNext()
        assertEquals("note-3", received.awaitNext())
        second.changed(StoredEntry("notes/9", "not a note", 1))
        assertEquals("unreadable notes/9", generateSequence { received.awaitNext() }.first { it != "note-3" })
        watcher.setEnabled(false)
        second.closed.get(20, TimeUnit.SECONDS)
    }
}
