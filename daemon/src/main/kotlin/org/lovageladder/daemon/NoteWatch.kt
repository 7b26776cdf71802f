package org.lovageladder.daemon

import kotlinx.serialization.json.Json
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.KeyValueStore
import org.lovageladder.core.NOTE_PREFIX
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoredEntry
import org.lovageladder.core.noteStoreKey
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives what a [NoteWatch] finds, on any thread. */
internal interface NoteReader {
    /** Version in force, after which notes are wanted. */
    val release: ReleaseVersion

    /** A note was found; it may have been found before. */
    fun seen(note: AcceptedNote)

    /** The value at [key] is not a note. */
    fun unreadable(key: String)
}

/**
 * Watches the release notes while it is switched on. A broken watch is established again after a pause that doubles
 * from [FIRST_PAUSE] to [LONGEST_PAUSE]. What was written meanwhile is read at once and again after [SECOND_READ],
 * by when the watch stands.
 */
internal class NoteWatch(
    private val store: KeyValueStore,
    private val timer: ScheduledExecutorService,
    private val reader: NoteReader,
) : AutoCloseable {
    private var wanted = false
    private var running: AutoCloseable? = null
    private var generation = 0L
    private var pause = FIRST_PAUSE

    /** Switches the watch on or off. */
    @Synchronized
    fun watch(watching: Boolean) {
        if (wanted == watching) return
        wanted = watching
        generation++
        if (watching) establish(generation) else stop()
    }

    override fun close(): Unit = watch(false)

    private fun stop() {
        running?.close()
        running = null
    }

    @Synchronized
    private fun establish(forGeneration: Long) {
        if (!wanted || forGeneration != generation) return
        running = store.watch(NOTE_PREFIX, ::changed) { ended(forGeneration) }
        readMissed()
        later(SECOND_READ, ::readMissed)
    }

    @Synchronized
    private fun ended(ofGeneration: Long) {
        if (!wanted || ofGeneration != generation) return
        generation++
        val next = generation
        later(pause) { establish(next) }
        pause = minOf(pause * 2, LONGEST_PAUSE)
    }

    private fun readMissed() {
        val request = StoreRequest.ReadAfter(NOTE_PREFIX, noteStoreKey(reader.release))
        store.call(request, READ_TIMEOUT) { answer ->
            if (answer is StoreAnswer.Found) {
                resetPause()
                answer.entries.forEach(::changed)
            }
        }
    }

    @Synchronized
    private fun resetPause() {
        pause = FIRST_PAUSE
    }

    private fun changed(entry: StoredEntry) {
        val note =
            try {
                noteJson.decodeFromString(AcceptedNote.serializer(), entry.value)
            } catch (_: IllegalArgumentException) {
                return reader.unreadable(entry.key)
            }
        reader.seen(note)
    }

    private fun later(delay: Duration, action: () -> Unit) {
        try {
            timer.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            return
        }
    }

    private companion object {
        val FIRST_PAUSE = 200.milliseconds
        val LONGEST_PAUSE = 5.seconds
        val SECOND_READ = 1.seconds
        val READ_TIMEOUT = 1.seconds
        val noteJson = Json { ignoreUnknownKeys = true }
    }
}
