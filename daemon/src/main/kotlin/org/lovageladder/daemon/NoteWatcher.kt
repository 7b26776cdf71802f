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

/** Receives the notes that a [NoteWatcher] reads; called on any thread. */
internal interface NoteListener {
    /** Release version in force; only later notes are read. */
    val release: ReleaseVersion

    /** A note was read; the same note may be read several times. */
    fun onNote(note: AcceptedNote)

    /** The value at [key] is not a note. */
    fun onUnreadableNote(key: String)
}

/**
 * Watches the release notes while it is enabled. A watch that ended is started again after a delay that doubles from
 * [MINIMUM_RECONNECT_DELAY] to [MAXIMUM_RECONNECT_DELAY]. Notes written before the watch takes effect are read at once
 * and again after [SECOND_READ_DELAY], since the watch may take effect after the first read.
 */
internal class NoteWatcher(
    private val store: KeyValueStore,
    private val timer: ScheduledExecutorService,
    private val listener: NoteListener,
) : AutoCloseable {
    private var isEnabled = false
    private var activeWatch: AutoCloseable? = null
    private var generation = 0L
    private var reconnectDelay = MINIMUM_RECONNECT_DELAY

    /** Starts or stops the watch. */
    @Synchronized
    fun setEnabled(enable: Boolean) {
        if (isEnabled == enable) return
        isEnabled = enable
        generation++
        if (enable) startWatch(generation) else closeWatch()
    }

    override fun close(): Unit = setEnabled(false)

    private fun closeWatch() {
        activeWatch?.close()
        activeWatch = null
    }

    @Synchronized
    private fun startWatch(watchGeneration: Long) {
        if (!isEnabled || watchGeneration != generation) return
        activeWatch = store.watch(NOTE_PREFIX, ::onEntryChanged) { onWatchEnded(watchGeneration) }
        readNewerNotes()
        runAfter(SECOND_READ_DELAY, ::readNewerNotes)
    }

    @Synchronized
    private fun onWatchEnded(watchGeneration: Long) {
        if (!isEnabled || watchGeneration != generation) return
        generation++
        val next = generation
        runAfter(reconnectDelay) { startWatch(next) }
        reconnectDelay = minOf(reconnectDelay * 2, MAXIMUM_RECONNECT_DELAY)
    }

    private fun readNewerNotes() {
        val request = StoreRequest.ReadAfter(NOTE_PREFIX, noteStoreKey(listener.release))
        store.call(request, READ_TIMEOUT) { answer ->
            if (answer is StoreAnswer.Found) {
                resetReconnectDelay()
                answer.entries.forEach(::onEntryChanged)
            }
        }
    }

    @Synchronized
    private fun resetReconnectDelay() {
        reconnectDelay = MINIMUM_RECONNECT_DELAY
    }

    private fun onEntryChanged(entry: StoredEntry) {
        val note =
            try {
                noteJson.decodeFromString(AcceptedNote.serializer(), entry.value)
            } catch (_: IllegalArgumentException) {
                return listener.onUnreadableNote(entry.key)
            }
        listener.onNote(note)
    }

    private fun runAfter(delay: Duration, action: () -> Unit) {
        try {
            timer.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            return
        }
    }

    private companion object {
        val MINIMUM_RECONNECT_DELAY = 200.milliseconds
        val MAXIMUM_RECONNECT_DELAY = 5.seconds
        val SECOND_READ_DELAY = 1.seconds
        val READ_TIMEOUT = 1.seconds
        val noteJson = Json { ignoreUnknownKeys = true }
    }
}
