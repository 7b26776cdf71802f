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
internal class OpenAttempt(val scheduler: UpstreamScheduler, var owner: ConnectionId?)

/**
 * All open attempts with the connection that owns each, and for a bounded time the ended ones, so that a message
 * which arrives late or twice does not open an attempt again.
 */
internal class AttemptRegistry(private val output: CompanionOutput) {
    private val openAttempts = LinkedHashMap<AttemptId, OpenAttempt>()
    private val attemptsByOwner = HashMap<ConnectionId, LinkedHashSet<AttemptId>>()
    private val endedAttempts = LinkedHashMap<AttemptId, EndedAttempt>()

    fun find(attempt: AttemptId): OpenAttempt? = openAttempts[attempt]

    fun owner(attempt: AttemptId): ConnectionId? = openAttempts[attempt]?.owner

    fun ending(attempt: AttemptId): AttemptEnding? = endedAttempts[attempt]?.ending

    fun isKnown(attempt: AttemptId): Boolean = attempt in openAttempts || attempt in endedAttempts

    fun ownedBy(connection: ConnectionId): List<AttemptId> = attemptsByOwner[connection].orEmpty().toList()

    /** Names by which engines know the open attempts. */
    fun openRequestNames(): Set<String> = openAttempts.keys.mapTo(HashSet()) { it.toString() }

    fun open(attempt: AttemptId, scheduler: UpstreamScheduler, owner: ConnectionId) {
        openAttempts[attempt] = OpenAttempt(scheduler, owner)
        attemptsByOwner.getOrPut(owner) { LinkedHashSet() }.add(attempt)
    }

    /** Keeps the attempt open without an owner: nothing more is sent about it. */
    fun removeOwner(attempt: AttemptId) {
        val entry = openAttempts[attempt] ?: return
        val owner = entry.owner ?: return
        entry.owner = null
        removeOwnedAttempt(owner, attempt)
    }

    fun close(attempt: AttemptId, ending: AttemptEnding) {
        openAttempts.remove(attempt)?.owner?.let { removeOwnedAttempt(it, attempt) }
        endedAttempts.remove(attempt)
        endedAttempts[attempt] = EndedAttempt(ending, output.now)
    }

    fun removeExpired() {
        val iterator = endedAttempts.values.iterator()
        while (iterator.hasNext()) {
            val isExpired = iterator.next().endedAt + ENDED_ATTEMPT_RETENTION <= output.now
            if (!isExpired && endedAttempts.size <= MAXIMUM_ENDED_ATTEMPTS) return
            iterator.remove()
        }
    }

    private fun removeOwnedAttempt(owner: ConnectionId, attempt: AttemptId) {
        val attempts = attemptsByOwner[owner] ?: return
        attempts.remove(attempt)
        if (attempts.isEmpty()) attemptsByOwner.remove(owner)
    }

    private class EndedAttempt(val ending: AttemptEnding, val endedAt: Moment)
}

private val ENDED_ATTEMPT_RETENTION: Duration = 10.seconds
private const val MAXIMUM_ENDED_ATTEMPTS = 65_536
