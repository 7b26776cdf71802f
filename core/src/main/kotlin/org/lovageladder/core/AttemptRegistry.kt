package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How an attempt ended; decides how later messages about it are handled. */
internal enum class AttemptEnding {
    /** Its final message was sent to the entry. */
    ANSWERED,

    /** Its entry cancelled it and expects no further message. */
    CANCELLED,

    /** Its reservation lapsed, or the connection that owned it was lost. */
    LAPSED,
}

/**
 * An attempt that is queued, holds a reservation or has a running call. Nothing more is sent about it when [owner] is
 * null.
 */
internal class OpenAttempt(val scheduler: UpstreamScheduler, var owner: ConnectionId?)

/**
 * All open attempts with the connection that owns each. Ended attempts are kept for a limited time, so that a late or
 * repeated message does not open them again.
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

    /** Request names under which engines list the open attempts. */
    fun openRequestNames(): Set<String> = openAttempts.keys.mapTo(HashSet()) { it.toString() }

    fun open(attempt: AttemptId, scheduler: UpstreamScheduler, owner: ConnectionId) {
        openAttempts[attempt] = OpenAttempt(scheduler, owner)
        attemptsByOwner.getOrPut(owner) { LinkedHashSet() }.add(attempt)
    }

    /** Removes the owner of an open attempt, so that nothing more is sent about it. */
    fun removeOwner(attempt: AttemptId) {
        val openAttempt = openAttempts[attempt] ?: return
        val owner = openAttempt.owner ?: return
        openAttempt.owner = null
        removeOwnedAttempt(owner, attempt)
    }

    fun close(attempt: AttemptId, ending: AttemptEnding) {
        openAttempts.remove(attempt)?.owner?.let { removeOwnedAttempt(it, attempt) }
        endedAttempts.remove(attempt)
        endedAttempts[attempt] = EndedAttempt(ending, output.now)
    }

    /** Removes ended attempts that are older than the retention time or exceed the maximum number. */
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
