package org.lovageladder.core

import com.github.michaelbull.result.getOrElse

/**
 * Applies accepted notes in the order of their versions. Notes that arrive early are kept until the missing ones
 * arrive; notes already applied are ignored. An accepted note that does not pass the checks is applied as an empty one
 * in every process, so that a later note can correct it. Confined to one thread.
 */
internal class ReleaseHistory {
    private val pending = sortedMapOf<ReleaseVersion, AcceptedNote>()
    private val applied = mutableListOf<AcceptedNote>()

    /** State after all applied notes. */
    var state: ReleaseState = ReleaseState.EMPTY
        private set

    /** Adds [notes] and returns those that were applied, in order. */
    fun add(notes: List<AcceptedNote>): List<AcceptedNote> {
        notes.filter { it.version > state.version }.forEach { pending.putIfAbsent(it.version, it) }
        val previousCount = applied.size
        while (applyNext()) Unit
        return applied.subList(previousCount, applied.size).toList()
    }

    /** Whether a peer with [version] has notes that are missing here. */
    fun isBehind(version: ReleaseVersion): Boolean = version > state.version

    /** The applied notes after [version], at most [limit] of them. */
    fun notesAfter(version: ReleaseVersion, limit: Int = MAXIMUM_NOTES_PER_MESSAGE): List<AcceptedNote> =
        applied.drop(version.number.coerceAtLeast(0).toInt().coerceAtMost(applied.size)).take(limit)

    private fun applyNext(): Boolean {
        val next = pending.remove(state.version.next()) ?: return false
        state = state.apply(next).getOrElse { state.copy(version = next.version) }
        applied += next
        return true
    }
}

private const val MAXIMUM_NOTES_PER_MESSAGE = 64
