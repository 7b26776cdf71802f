package org.lovageladder.core

import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps an entry's release up to date. It reads the key-value service at the start, after a pause and at intervals, and
 * gets newer notes from companions and from the watch of notes if this entry has one. In each place the
 * [WATCHERS_PER_PLACE] entries that rank first by rendezvous hashing have a watch. They read at each interval in case
 * the watch missed a note; the others read every [UNWATCHED_READ_PERIOD] intervals. Confined to one thread.
 */
internal class EntryReleaseSync(
    private val settings: EntrySettings,
    private val output: EntryOutput,
    private val timers: Timers,
    private val onApplied: (ReleaseState, Moment) -> Unit,
) {
    private val history = ReleaseHistory()
    private var isReading = false
    private var isWatching = false
    private var isStoreUnavailable = false
    private var refreshes = 0L

    /** Whether the release may be outdated: the process was paused and has not read it since. */
    var isStale: Boolean = false
        private set

    val state: ReleaseState get() = history.state

    fun start(now: Moment) {
        readNotes()
        timers.at(now + settings.storeRefreshInterval) { refresh(it) }
    }

    /** Marks the release as possibly outdated after a pause and reads it again. */
    fun onPauseDetected() {
        isStale = true
        readNotes()
    }

    /** While the store is unavailable, a companion that has no newer release confirms this one after a pause. */
    fun onPeerRelease(version: ReleaseVersion) {
        if (isStoreUnavailable && !isBehind(version)) isStale = false
    }

    fun applyNotes(notes: List<AcceptedNote>, now: Moment) {
        val newNotes = history.add(notes)
        if (newNotes.isEmpty()) return
        newNotes.forEach {
            output.record(EventDraft(EventKind.NOTE_APPLIED, note = it.version, detail = it.note.id.text))
        }
        onApplied(state, now)
        updateWatch()
    }

    fun isBehind(version: ReleaseVersion): Boolean = history.isBehind(version)

    fun notesAfter(version: ReleaseVersion): List<AcceptedNote> = history.notesAfter(version)

    private fun refresh(now: Moment) {
        refreshes++
        val isReadDue =
            isWatching ||
                isStoreUnavailable ||
                state.version == ReleaseVersion.NONE ||
                refreshes % UNWATCHED_READ_PERIOD == 0L
        if (isReadDue) readNotes()
        timers.at(now + settings.storeRefreshInterval) { refresh(it) }
    }

    private fun readNotes() {
        if (isReading) return
        isReading = true
        val request = StoreRequest.ReadAfter(NOTE_PREFIX, noteStoreKey(state.version), PAGE_SIZE)
        output.callStore(request, settings.storeTimeout) { answer, now -> onStoreAnswer(answer, now) }
    }

    private fun onStoreAnswer(answer: StoreAnswer, now: Moment) {
        isReading = false
        if (answer is StoreAnswer.Found) {
            if (isStoreUnavailable) output.record(EventDraft(EventKind.STORE_BACK))
            isStoreUnavailable = false
            isStale = false
            applyNotes(answer.entries.mapNotNull { decode(it) }, now)
            if (answer.entries.size == PAGE_SIZE) readNotes()
            return
        }
        if (!isStoreUnavailable) output.record(EventDraft(EventKind.STORE_LOST, detail = answer.toString()))
        isStoreUnavailable = true
        if (state.version == ReleaseVersion.NONE || isStale) timers.at(now + READ_RETRY_INTERVAL) { readNotes() }
    }

    private fun decode(entry: StoredEntry): AcceptedNote? =
        storedNote(entry) { output.record(EventDraft(EventKind.NOTE_UNREADABLE, detail = it.key)) }

    private fun updateWatch() {
        val entries = state.hosts.values
            .filter { it.role == HostRole.ENTRY && it.place == settings.place }
            .sortedBy { rendezvousHash(settings.place.text, it.name.text) }
        val rank = entries.indexOfFirst { it.name == settings.host }
        val shouldWatch = rank < WATCHERS_PER_PLACE
        if (shouldWatch == isWatching) return
        isWatching = shouldWatch
        output.add(EntryEffect.WatchNotes(shouldWatch))
    }

    private companion object {
        const val WATCHERS_PER_PLACE = 3
        const val PAGE_SIZE = 256
        const val UNWATCHED_READ_PERIOD = 5L
        val READ_RETRY_INTERVAL = 200.milliseconds
    }
}
