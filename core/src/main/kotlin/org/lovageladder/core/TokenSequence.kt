package org.lovageladder.core

/**
 * Puts the tokens of one answer in order: each index is passed on once, in order, whichever attempt produced it and
 * however often. Confined to one thread.
 */
internal class TokenSequence(private val pass: (Int, String) -> Unit) {
    private val early = HashMap<Int, String>()

    /** Index of the next token to be passed on. */
    var next: Int = 0
        private set

    /** Takes in one token; returns whether any was passed on. */
    fun offer(index: Int, text: String): Boolean {
        if (index < next) return false
        early.putIfAbsent(index, text)
        val before = next
        while (true) {
            val token = early.remove(next) ?: break
            pass(next, token)
            next++
        }
        return next > before
    }
}
