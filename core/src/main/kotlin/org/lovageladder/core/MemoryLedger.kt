package org.lovageladder.core

/**
 * Exact account of a decode engine's memory in pieces. [total] and [limit] may shrink below what is held; nothing
 * fits until enough is freed again.
 */
internal class MemoryLedger(var total: Int, var limit: Int) {
    private val held = HashMap<AttemptId, Int>()

    /** Pieces held by all attempts. */
    var heldPieces: Int = 0
        private set

    val count: Int get() = held.size
    val freePieces: Int get() = (total - heldPieces).coerceAtLeast(0)

    fun fits(pieces: Int): Boolean = held.size < limit && heldPieces + pieces <= total

    fun hold(attempt: AttemptId, pieces: Int) {
        check(attempt !in held) { "$attempt already holds memory" }
        held[attempt] = pieces
        heldPieces += pieces
    }

    fun free(attempt: AttemptId) {
        heldPieces -= held.remove(attempt) ?: return
    }
}
