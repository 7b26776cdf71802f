package org.lovageladder.core

/**
 * Exact account of a decode engine's memory in pieces. [totalPieces] and [maximumAttempts] may shrink below what is
 * allocated; then nothing fits until enough is freed.
 */
internal class MemoryLedger(var totalPieces: Int, var maximumAttempts: Int) {
    private val allocations = HashMap<AttemptId, Int>()

    /** Pieces allocated to all attempts. */
    var allocatedPieces: Int = 0
        private set

    val attemptCount: Int get() = allocations.size
    val freePieces: Int get() = (totalPieces - allocatedPieces).coerceAtLeast(0)

    fun fits(pieces: Int): Boolean = allocations.size < maximumAttempts && allocatedPieces + pieces <= totalPieces

    fun allocate(attempt: AttemptId, pieces: Int) {
        check(attempt !in allocations) { "$attempt already holds memory" }
        allocations[attempt] = pieces
        allocatedPieces += pieces
    }

    fun free(attempt: AttemptId) {
        allocatedPieces -= allocations.remove(attempt) ?: return
    }
}
