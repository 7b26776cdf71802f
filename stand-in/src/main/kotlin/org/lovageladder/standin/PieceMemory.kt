package org.lovageladder.standin

/** Engine memory, handed out in pieces of a fixed number of tokens. */
internal class PieceMemory(val totalPieces: Int, private val pieceTokens: Int) {
    var heldPieces: Int = 0
        private set

    /** Pieces for a call that ends with [tokens] tokens in memory; at least 1. */
    fun piecesFor(tokens: Int): Int = ((tokens + pieceTokens - 1) / pieceTokens).coerceAtLeast(1)

    /** Takes [pieces] and returns true, or returns false when they don't fit. */
    fun tryHold(pieces: Int): Boolean {
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
