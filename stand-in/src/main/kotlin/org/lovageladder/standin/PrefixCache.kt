package org.lovageladder.standin

/**
 * Prompt prefixes that need no prefill again: blocks of tokens in limited memory, the least recently used dropped
 * first. A block's name stands for its own tokens and all before them.
 */
internal class PrefixCache(
    private val capacityBlocks: Int,
    private val blockTokens: Int,
    private val events: CacheEvents,
) {
    private val blocks = LinkedHashSet<String>()

    /** How many of the first tokens of [prompt] are cached. */
    fun cachedTokens(prompt: String): Int {
        val hits = blockNames(prompt).takeWhile { it in blocks }
        touch(hits)
        return hits.size * blockTokens
    }

    /** Takes the whole blocks of [prompt] in. */
    fun store(prompt: String) {
        val names = blockNames(prompt).take(capacityBlocks)
        val added = names.filterNot { it in blocks }
        touch(names)
        if (added.isNotEmpty()) {
            events.add(CacheEventType.STORED, added)
        }
        dropOldest()
    }

    /** Makes [names] the most recently used, their last block first to go: it is of no use without those before. */
    private fun touch(names: List<String>) {
        blocks.removeAll(names.toSet())
        blocks.addAll(names.asReversed())
    }

    private fun dropOldest() {
        val dropped = blocks.take((blocks.size - capacityBlocks).coerceAtLeast(0))
        blocks.removeAll(dropped.toSet())
        if (dropped.isNotEmpty()) {
            events.add(CacheEventType.REMOVED, dropped)
        }
    }

    private fun blockNames(prompt: String): List<String> {
        if (capacityBlocks == 0) {
            return emptyList()
        }
        var hash = 0L
        return wordsOf(prompt).toList().chunked(blockTokens).filter { it.size == blockTokens }.map { words ->
            hash = words.fold(hash) { sum, word -> sum * HASH_FACTOR + word.hashCode() }
            "%016x".format(hash)
        }
    }

    private companion object {
        const val HASH_FACTOR = 1_000_003L
    }
}
