package org.lovageladder.standin

import kotlinx.serialization.encodeToString

/** Open watches; each streams the changes of its keys as JSON lines, one line per revision. */
internal class KeyValueWatches(private val store: KeyValueStore) {
    private val watches = LinkedHashSet<OpenWatch>()

    val openCount: Int
        get() = watches.size

    /**
     * Opens a watch and first sends the changes since its start revision. Answers that the watch is cancelled when that
     * revision is already compacted.
     */
    fun open(request: WatchCreateRequest, exchange: HttpExchange) {
        exchange.startStream(HttpExchange.JSON_TYPE)
        val start = request.startRevision
        if (start != 0L && start <= store.compactRevision) {
            val response = WatchResponse(store.header(), canceled = true, compactRevision = store.compactRevision)
            send(exchange, response)
            exchange.end()
            return
        }
        val watch = OpenWatch(KeyRange(request.key, request.rangeEnd), start, request.returnPrevious, exchange)
        watches.add(watch)
        exchange.onDisconnect = { watches.remove(watch) }
        send(exchange, WatchResponse(store.header(), created = true))
        if (start != 0L) {
            val missed = store.changesSince(start, watch.range).groupBy { it.kv.modRevision }
            missed.values.forEach { sendChanges(watch, it) }
        }
    }

    /** Sends the changes of one revision to the watches whose range contains their keys. */
    fun notifyWatches(revision: Long, changes: List<KeyChange>) {
        for (watch in watches.toList()) {
            val matching = changes.filter { watch.range.contains(it.kv.key) }
            if (matching.isNotEmpty() && revision >= watch.startRevision) {
                sendChanges(watch, matching)
            }
        }
    }

    /** Removes all watches without closing their connections; the caller closes them. */
    fun clear() {
        watches.clear()
    }

    private fun sendChanges(watch: OpenWatch, changes: List<KeyChange>) {
        val events = changes.map { WatchEvent(it.type, it.kv, it.previous.takeIf { watch.returnPrevious }) }
        send(watch.exchange, WatchResponse(store.header(), events = events))
    }

    private fun send(exchange: HttpExchange, response: WatchResponse) {
        exchange.write(keyValueJson.encodeToString(WatchEnvelope(response)) + "\n")
    }

    private class OpenWatch(
        val range: KeyRange,
        val startRevision: Long,
        val returnPrevious: Boolean,
        val exchange: HttpExchange,
    )
}
