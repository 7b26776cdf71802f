package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps a companion's release current: from the key-value service at its start and in every refresh interval, from
 * entries that know more, and anew after a pause.
 */
internal class ReleaseSync(private val context: CompanionContext) {
    private val settings = context.settings
    private val output = context.output
    private val follower = ReleaseFollower()
    private val asked = HashMap<ConnectionId, AskedNotes>()
    private var readTicket: Long? = null
    private var readAt: Moment? = null
    private var readings = 0
    private var isStoreLost = false

    /** Whether the release was read, from the store or else from a peer, since the process started or woke. */
    var isFresh: Boolean = false
        private set

    val state: ReleaseState get() = follower.state
    val version: ReleaseVersion get() = follower.state.version

    /** Notes to send to a peer that knows those up to [after]. */
    fun notesAfter(after: ReleaseVersion): PeerMessage.Notes = PeerMessage.Notes(follower.after(after))

    /** Discards what a reading that began before a pause may still answer, and reads anew. */
    fun wake() {
        isFresh = false
        readTicket = null
        readAt = context.now
    }

    fun advance() {
        if (readTicket != null) return
        if ((readAt ?: context.now) > context.now) return
        val ticket = output.nextTicket()
        readTicket = ticket
        val request = StoreRequest.ReadAfter(NOTE_PREFIX, noteStoreKey(version))
        output.add(CompanionEffect.AskStore(ticket, request, settings.storeTimeout))
    }

    /** Takes in the answer to [ticket]; false when it belongs to another part. */
    fun storeAnswered(ticket: Long, answer: StoreAnswer): Boolean {
        if (ticket != readTicket) return false
        readTicket = null
        when (answer) {
            is StoreAnswer.Found -> found(answer.entries)
            is StoreAnswer.Unavailable, is StoreAnswer.Written, is StoreAnswer.Conflict, is StoreAnswer.Leased -> lost()
        }
        return true
    }

    /** Asks [connection] for the missing notes when its release [peerVersion] is newer. */
    fun heardOf(connection: ConnectionId, peerVersion: ReleaseVersion) {
        if (follower.behind(peerVersion)) askPeer(connection, peerVersion)
    }

    /** Takes in notes from the peer on [connection]. */
    fun notesFrom(connection: ConnectionId, notes: List<AcceptedNote>) {
        val wasAsked = asked.remove(connection) ?: return apply(notes)
        apply(notes)
        if (follower.behind(wasAsked.upTo) && notes.isNotEmpty()) return askPeer(connection, wasAsked.upTo)
        if (isStoreLost && version > ReleaseVersion.NONE) isFresh = true
    }

    /** Asks a peer that connected while the store is away and the release may be outdated. */
    fun connected(connection: ConnectionId) {
        if (isStoreLost && !isFresh) askPeer(connection, version)
    }

    fun connectionLost(connection: ConnectionId) {
        asked.remove(connection)
    }

    fun nextDeadline(): Moment? = if (readTicket == null) readAt ?: context.now else null

    private fun askPeer(connection: ConnectionId, upTo: ReleaseVersion) {
        val previous = asked[connection]
        if (previous != null && previous.at + FETCH_REPEAT > context.now) {
            previous.upTo = maxOf(previous.upTo, upTo)
            return
        }
        asked[connection] = AskedNotes(upTo, context.now)
        output.send(connection, PeerMessage.FetchNotes(version))
    }

    private fun found(entries: List<StoredEntry>) {
        if (isStoreLost) output.record(EventKind.STORE_BACK)
        isStoreLost = false
        val before = version
        apply(entries.mapNotNull(::decode))
        val mayHaveMore = entries.size >= READ_LIMIT && version > before
        if (!mayHaveMore) isFresh = true
        readAt = if (mayHaveMore) context.now else context.now + refreshInterval()
    }

    private fun lost() {
        if (!isStoreLost) output.record(EventKind.STORE_LOST)
        isStoreLost = true
        readAt = context.now + settings.storeRefreshInterval.coerceAtMost(LOST_STORE_REPEAT)
    }

    /**
     * Short before the first release. The first interval after it is cut by a part that differs among incarnations, so
     * that their readings spread out.
     */
    private fun refreshInterval(): Duration {
        if (version == ReleaseVersion.NONE) return settings.storeRefreshInterval.coerceAtMost(NO_RELEASE_REPEAT)
        readings++
        if (readings > 1) return settings.storeRefreshInterval
        val part = settings.incarnation.number.mod(STAGGER_PARTS) + 1
        return settings.storeRefreshInterval * (part.toDouble() / STAGGER_PARTS)
    }

    private fun decode(entry: StoredEntry): AcceptedNote? =
        storedNote(entry) { output.record(EventKind.NOTE_UNREADABLE, detail = it.key) }

    private fun apply(notes: List<AcceptedNote>) {
        for (note in follower.offer(notes)) {
            output.record(EventKind.NOTE_APPLIED, note = note.version, detail = note.note.id.text)
        }
    }

    private class AskedNotes(var upTo: ReleaseVersion, val at: Moment)

    private companion object {
        val FETCH_REPEAT: Duration = 1.seconds
        val LOST_STORE_REPEAT: Duration = 1.seconds
        val NO_RELEASE_REPEAT: Duration = 2.seconds
        const val STAGGER_PARTS = 1000L
        const val READ_LIMIT = 256
    }
}
