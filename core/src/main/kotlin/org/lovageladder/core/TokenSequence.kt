package org.lovageladder.core

/**
 * Orders and deduplicates the tokens of one answer: [onNext] gets each index once and in order, even if several
 * attempts produce it. Confined to one thread.
 */
internal class TokenSequence(private val onNext: (Int, String) -> Unit) {
    private val outOfOrder = HashMap<Int, String>()

    /** Index of the next token to pass to [onNext]. */
    var nextIndex: Int = 0
        private set

    /** Adds one token; returns whether any was passed to [onNext]. */
    fun add(index: Int, text: String): Boolean {
        if (index < nextIndex) return false
        outOfOrder.putIfAbsent(index, text)
        val before = nextIndex
        while (true) {
            val token = outOfOrder.remove(nextIndex) ?: break
            onNext(nextIndex, token)
            nextIndex++
        }
        return nextIndex > before
    }
}
