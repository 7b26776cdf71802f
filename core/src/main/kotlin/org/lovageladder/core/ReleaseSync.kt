package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps a companion's release up to date. It reads the key-value service at the start, at every refresh interval and
 * after a pause, and gets newer notes from entries.
 */
internal class ReleaseSync(private val context: CompanionContext) {
    private val settings = context.settings
    private val output = context.output
    private val history = ReleaseHistory()
    private val fetchRequests = HashMap<ConnectionId, FetchRequest>()
    private var readCallNumber: Long? = null
    private var nextReadAt: Moment? = null
    private var refreshes = 0
    private var isStoreUnavailable = false

    /** Whether the release was read, from the store or a peer, since the process started or was last paused. */
    var isFresh: Boolean = false
        private set

    val state: ReleaseState get() = history.state
    val version: ReleaseVersion get() = history.state.version

    /** Notes for a peer that has those up to [after]. */
    fun notesAfter(after: ReleaseVersion): PeerMessage.Notes = PeerMessage.Notes(history.notesAfter(after))

    /** Reads again after a pause, and ignores the answer to a read from before it. */
    fun wake() {
        isFresh = false
        readCallNumber = null
        nextReadAt = context.now
    }

    fun advance() {
        if (readCallNumber != null) return
        if ((nextReadAt ?: context.now) > context.now) return
        val callNumber = output.nextStoreCallNumber()
        readCallNumber = callNumber
        val request = StoreRequest.ReadAfter(NOTE_PREFIX, noteStoreKey(version))
        output.add(CompanionEffect.CallStore(callNumber, request, settings.storeTimeout))
    }

    /** Handles the answer to [callNumber]; returns false when another component sent that request. */
    fun storeAnswered(callNumber: Long, answer: StoreAnswer): Boolean {
        if (callNumber != readCallNumber) return false
        readCallNumber = null
        when (answer) {
            is StoreAnswer.Found -> onNotesRead(answer.entries)
            is StoreAnswer.Unavailable, is StoreAnswer.Written, is StoreAnswer.Conflict, is StoreAnswer.Leased ->
                onStoreUnavailable()
        }
        return true
    }

    /** Asks the peer on [connection] for the missing notes when its release [peerVersion] is newer. */
    fun heardOf(connection: ConnectionId, peerVersion: ReleaseVersion) {
        if (history.isBehind(peerVersion)) fetchNotes(connection, peerVersion)
    }

    /** Applies notes from the peer on [connection], and asks for more while some are missing. */
    fun notesFrom(connection: ConnectionId, notes: List<AcceptedNote>) {
        val request = fetchRequests.remove(connection) ?: return applyNotes(notes)
        applyNotes(notes)
        if (history.isBehind(request.upTo) && notes.isNotEmpty()) return fetchNotes(connection, request.upTo)
        if (isStoreUnavailable && version > ReleaseVersion.NONE) isFresh = true
    }

    /** Asks a newly connected peer for notes if the store is unavailable and the release may be outdated. */
    fun connected(connection: ConnectionId) {
        if (isStoreUnavailable && !isFresh) fetchNotes(connection, version)
    }

    fun connectionLost(connection: ConnectionId) {
        fetchRequests.remove(connection)
    }

    fun nextDeadline(): Moment? = if (readCallNumber == null) nextReadAt ?: context.now else null

    private fun fetchNotes(connection: ConnectionId, upTo: ReleaseVersion) {
        val previous = fetchRequests[connection]
        if (previous != null && previous.sentAt + FETCH_RETRY_INTERVAL > context.now) {
            previous.upTo = maxOf(previous.upTo, upTo)
            return
        }
        fetchRequests[connection] = FetchRequest(upTo, context.now)
        output.send(connection, PeerMessage.FetchNotes(version))
    }

    private fun onNotesRead(entries: List<StoredEntry>) {
        if (isStoreUnavailable) output.record(EventKind.STORE_BACK)
        isStoreUnavailable = false
        val before = version
        applyNotes(entries.mapNotNull(::decode))
        val mayHaveMore = entries.size >= PAGE_SIZE && version > before
        if (!mayHaveMore) isFresh = true
        nextReadAt = if (mayHaveMore) context.now else context.now + refreshInterval()
    }

    private fun onStoreUnavailable() {
        if (!isStoreUnavailable) output.record(EventKind.STORE_LOST)
        isStoreUnavailable = true
        nextReadAt = context.now + settings.storeRefreshInterval.coerceAtMost(UNAVAILABLE_STORE_READ_INTERVAL)
    }

    /**
     * Time until the next read; shorter while there is no release. The first interval after the first release is a
     * fraction that depends on the incarnation, so that companions don't all read at the same time.
     */
    private fun refreshInterval(): Duration {
        if (version == ReleaseVersion.NONE) return settings.storeRefreshInterval.coerceAtMost(NO_RELEASE_READ_INTERVAL)
        refreshes++
        if (refreshes > 1) return settings.storeRefreshInterval
        val fraction = settings.incarnation.number.mod(STAGGER_STEPS) + 1
        return settings.storeRefreshInterval * (fraction.toDouble() / STAGGER_STEPS)
    }

    private fun decode(entry: StoredEntry): AcceptedNote? =
        storedNote(entry) { output.record(EventKind.NOTE_UNREADABLE, detail = it.key) }

    private fun applyNotes(notes: List<AcceptedNote>) {
        for (note in history.add(notes)) {
            output.record(EventKind.NOTE_APPLIED, note = note.version, detail = note.note.id.text)
        }
    }

    /** Request sent to a peer at [sentAt] for the notes up to [upTo]. */
    private class FetchRequest(var upTo: ReleaseVersion, val sentAt: Moment)

    private companion object {
        val FETCH_RETRY_INTERVAL: Duration = 1.seconds
        val UNAVAILABLE_STORE_READ_INTERVAL: Duration = 1.seconds
        val NO_RELEASE_READ_INTERVAL: Duration = 2.seconds
        const val STAGGER_STEPS = 1000L
        const val PAGE_SIZE = 256
    }
}
