package org.lovageladder.core

import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps an entry's release up to date: from the key-value service at the start, after a pause and at intervals, from
 * the watch where this entry has one, and from companions that have newer notes. In each place the [WATCHERS] entries
 * that rank first by rendezvous hashing watch, and read at each interval in case the watch missed a note; the others
 * learn from companions and read less often. Confined to one thread.
 */
internal class EntryRelease(
    private val settings: EntrySettings,
    private val output: EntryOutput,
    private val timers: Timers,
    private val applied: (ReleaseState, Moment) -> Unit,
) {
    private val follower = ReleaseFollower()
    private var asking = false
    private var watching = false
    private var storeLost = false
    private var rounds = 0L

    /** Whether a pause may have made the state stale and no fresh reading came since. */
    var stale: Boolean = false
        private set

    val state: ReleaseState get() = follower.state

    fun begin(now: Moment) {
        ask()
        timers.at(now + settings.storeRefreshInterval) { again(it) }
    }

    /** The process was paused: whatever it knows may be out of date. */
    fun woke() {
        stale = true
        ask()
    }

    /** While the store is away, a companion that answers now and knows nothing newer ends the doubt after a pause. */
    fun peerKnows(version: ReleaseVersion) {
        if (storeLost && !behind(version)) stale = false
    }

    fun offer(notes: List<AcceptedNote>, now: Moment) {
        val fresh = follower.offer(notes)
        if (fresh.isEmpty()) return
        fresh.forEach { output.record(EventDraft(EventKind.NOTE_APPLIED, note = it.version, detail = it.note.id.text)) }
        applied(state, now)
        chooseWatch()
    }

    fun behind(version: ReleaseVersion): Boolean = follower.behind(version)

    fun after(version: ReleaseVersion): List<AcceptedNote> = follower.after(version)

    private fun again(now: Moment) {
        rounds++
        val due = watching || storeLost || state.version == ReleaseVersion.NONE || rounds % UNWATCHED_ROUNDS == 0L
        if (due) ask()
        timers.at(now + settings.storeRefreshInterval) { again(it) }
    }

    private fun ask() {
        if (asking) return
        asking = true
        val request = StoreRequest.ReadAfter(NOTE_PREFIX, noteStoreKey(state.version), PAGE)
        output.askStore(request, settings.storeTimeout) { answer, now -> answered(answer, now) }
    }

    private fun answered(answer: StoreAnswer, now: Moment) {
        asking = false
        if (answer is StoreAnswer.Found) {
            if (storeLost) output.record(EventDraft(EventKind.STORE_BACK))
            storeLost = false
            stale = false
            offer(answer.entries.mapNotNull { decode(it) }, now)
            if (answer.entries.size == PAGE) ask()
            return
        }
        if (!storeLost) output.record(EventDraft(EventKind.STORE_LOST, detail = answer.toString()))
        storeLost = true
        if (state.version == ReleaseVersion.NONE || stale) timers.at(now + RETRY_INTERVAL) { ask() }
    }

    private fun decode(entry: StoredEntry): AcceptedNote? =
        storedNote(entry) { output.record(EventDraft(EventKind.NOTE_UNREADABLE, detail = it.key)) }

    private fun chooseWatch() {
        val entries = state.hosts.values
            .filter { it.role == HostRole.ENTRY && it.place == settings.place }
            .sortedBy { rendezvous(settings.place.text, UpstreamName(it.name.text)) }
        val rank = entries.indexOfFirst { it.name == settings.host }
        val wanted = rank < WATCHERS
        if (wanted == watching) return
        watching = wanted
        output.add(EntryEffect.WatchNotes(wanted))
    }

    private companion object {
        const val WATCHERS = 3
        const val PAGE = 256
        const val UNWATCHED_ROUNDS = 5L
        val RETRY_INTERVAL = 200.milliseconds
    }
}
