package org.lovageladder.core

import com.github.michaelbull.result.getOrElse

/**
 * Applies accepted notes in the order of their versions and never goes back. Notes that arrive ahead of their turn
 * are kept until the gap closes; notes already applied are ignored. An accepted note that does not pass the checks
 * counts as empty in every process, so that a later note can correct it. Confined to one thread.
 */
internal class ReleaseFollower {
    private val ahead = sortedMapOf<ReleaseVersion, AcceptedNote>()
    private val applied = mutableListOf<AcceptedNote>()

    /** State in force. */
    var state: ReleaseState = ReleaseState.EMPTY
        private set

    /** Takes in [notes] and returns those that came into force, in order. */
    fun offer(notes: List<AcceptedNote>): List<AcceptedNote> {
        notes.filter { it.version > state.version }.forEach { ahead.putIfAbsent(it.version, it) }
        val before = applied.size
        while (applyNext()) Unit
        return applied.subList(before, applied.size).toList()
    }

    /** Whether a peer with [version] knows notes that are missing here. */
    fun behind(version: ReleaseVersion): Boolean = version > state.version

    /** The applied notes after [version], at most [limit] of them. */
    fun after(version: ReleaseVersion, limit: Int = NOTES_PER_MESSAGE): List<AcceptedNote> =
        applied.drop(version.number.coerceAtLeast(0).toInt().coerceAtMost(applied.size)).take(limit)

    private fun applyNext(): Boolean {
        val next = ahead.remove(state.version.next()) ?: return false
        state = state.apply(next).getOrElse { state.copy(version = next.version) }
        applied += next
        return true
    }
}

private const val NOTES_PER_MESSAGE = 64
