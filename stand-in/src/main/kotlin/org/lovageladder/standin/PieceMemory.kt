package org.lovageladder.standin

/** Engine memory, allocated in pieces of [pieceTokens] tokens. */
internal class PieceMemory(val totalPieces: Int, private val pieceTokens: Int) {
    var heldPieces: Int = 0
        private set

    /** Pieces needed for [tokens] tokens; at least 1. */
    fun piecesFor(tokens: Int): Int = ((tokens + pieceTokens - 1) / pieceTokens).coerceAtLeast(1)

    /** Allocates [pieces] and returns true, or returns false when fewer are free. */
    fun tryAllocate(pieces: Int): Boolean {
        if (heldPieces + pieces > totalPieces) {
            return false
        }
        heldPieces += pieces
        return true
    }

    fun free(pieces: Int) {
        heldPieces -= pieces
    }
}
