package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How an attempt ended, as far as later messages about it are concerned. */
internal enum class AttemptEnding {
    /** Its last answer was sent. */
    ANSWERED,

    /** Its entry cancelled it and expects no answer. */
    CANCELLED,

    /** Its reservation lapsed, or the connection that owned it was lost. */
    LAPSED,
}

/** An attempt that holds a place in a queue, memory or a running call. */
internal class OpenAttempt(val work: UpstreamWork, var owner: ConnectionId?)

/**
 * All open attempts with the connection that owns each, and for a bounded time the ended ones, so that a message
 * which arrives late or twice does not open an attempt again.
 */
internal class AttemptRegistry(private val output: CompanionOutput) {
    private val open = LinkedHashMap<AttemptId, OpenAttempt>()
    private val owned = HashMap<ConnectionId, LinkedHashSet<AttemptId>>()
    private val ended = LinkedHashMap<AttemptId, EndedAttempt>()

    fun find(attempt: AttemptId): OpenAttempt? = open[attempt]

    fun owner(attempt: AttemptId): ConnectionId? = open[attempt]?.owner

    fun ending(attempt: AttemptId): AttemptEnding? = ended[attempt]?.ending

    fun isKnown(attempt: AttemptId): Boolean = attempt in open || attempt in ended

    fun ownedBy(connection: ConnectionId): List<AttemptId> = owned[connection].orEmpty().toList()

    /** Names by which engines know the open attempts. */
    fun openNames(): Set<String> = open.keys.mapTo(HashSet()) { it.toString() }

    fun open(attempt: AttemptId, work: UpstreamWork, owner: ConnectionId) {
        open[attempt] = OpenAttempt(work, owner)
        owned.getOrPut(owner) { LinkedHashSet() }.add(attempt)
    }

    /** Keeps the attempt open without an owner: nothing more is sent about it. */
    fun disown(attempt: AttemptId) {
        val entry = open[attempt] ?: return
        val owner = entry.owner ?: return
        entry.owner = null
        forgetOwned(owner, attempt)
    }

    fun close(attempt: AttemptId, ending: AttemptEnding) {
        open.remove(attempt)?.owner?.let { forgetOwned(it, attempt) }
        ended.remove(attempt)
        ended[attempt] = EndedAttempt(ending, output.now)
    }

    fun forgetOld() {
        val iterator = ended.values.iterator()
        while (iterator.hasNext()) {
            val isOld = iterator.next().at + ENDED_ATTEMPT_MEMORY <= output.now
            if (!isOld && ended.size <= ENDED_ATTEMPT_LIMIT) return
            iterator.remove()
        }
    }

    private fun forgetOwned(owner: ConnectionId, attempt: AttemptId) {
        val attempts = owned[owner] ?: return
        attempts.remove(attempt)
        if (attempts.isEmpty()) owned.remove(owner)
    }

    private class EndedAttempt(val ending: AttemptEnding, val at: Moment)
}

private val ENDED_ATTEMPT_MEMORY: Duration = 10.seconds
private const val ENDED_ATTEMPT_LIMIT = 65_536
