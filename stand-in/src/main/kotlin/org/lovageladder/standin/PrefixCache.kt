package org.lovageladder.standin

/**
 * Least-recently-used cache of prompt prefixes, in blocks of [blockTokens] tokens; cached tokens need no prefill.
 *
 * A block's hash covers its own tokens and all tokens before them.
 */
internal class PrefixCache(
    private val capacityBlocks: Int,
    private val blockTokens: Int,
    private val events: CacheEventLog,
) {
    private val blocks = LinkedHashSet<String>()

    /** Number of leading tokens of [prompt] that are cached; marks their blocks as used. */
    fun cachedTokens(prompt: String): Int {
        val hits = blockHashes(prompt).takeWhile { it in blocks }
        markUsed(hits)
        return hits.size * blockTokens
    }

    /** Adds the full blocks of [prompt]; an incomplete last block is not cached. */
    fun store(prompt: String) {
        val hashes = blockHashes(prompt).take(capacityBlocks)
        val added = hashes.filterNot { it in blocks }
        markUsed(hashes)
        if (added.isNotEmpty()) {
            events.record(CacheEventType.STORED, added)
        }
        evictOldest()
    }

    /**
     * Marks [hashes] as the most recently used. Among them the last block is evicted first, as it is useless without
     * the blocks before it.
     */
    private fun markUsed(hashes: List<String>) {
        blocks.removeAll(hashes.toSet())
        blocks.addAll(hashes.asReversed())
    }

    private fun evictOldest() {
        val evicted = blocks.take((blocks.size - capacityBlocks).coerceAtLeast(0))
        blocks.removeAll(evicted.toSet())
        if (evicted.isNotEmpty()) {
            events.record(CacheEventType.REMOVED, evicted)
        }
    }

    private fun blockHashes(prompt: String): List<String> {
        if (capacityBlocks == 0) {
            return emptyList()
        }
        var hash = 0L
        return wordsOf(prompt).toList().chunked(blockTokens).filter { it.size == blockTokens }.map { words ->
            hash = words.fold(hash) { hashSoFar, word -> hashSoFar * HASH_MULTIPLIER + word.hashCode() }
            "%016x".format(hash)
        }
    }

    private companion object {
        const val HASH_MULTIPLIER = 1_000_003L
    }
}
