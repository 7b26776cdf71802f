package org.lovageladder.standin

import kotlinx.serialization.encodeToString

/** Open watches: each is a stream of JSON lines that carries the changes of its keys, one line per revision. */
internal class KeyValueWatches(private val store: KeyValueStore) {
    private val watches = LinkedHashSet<OpenWatch>()

    val openCount: Int
        get() = watches.size

    /** Opens a watch; changes since the wanted revision are sent first. */
    fun open(request: WatchCreateRequest, exchange: HttpExchange) {
        exchange.startStream(HttpExchange.JSON_TYPE)
        val start = request.startRevision
        if (start != 0L && start <= store.compactRevision) {
            val response = WatchResponse(store.header(), canceled = true, compactRevision = store.compactRevision)
            send(exchange, response)
            exchange.end()
            return
        }
        val watch = OpenWatch(KeyRange(request.key, request.rangeEnd), start, request.previousWanted, exchange)
        watches.add(watch)
        exchange.onClosed = { watches.remove(watch) }
        send(exchange, WatchResponse(store.header(), created = true))
        if (start != 0L) {
            val missed = store.changesSince(start, watch.range).groupBy { it.kv.modRevision }
            missed.values.forEach { sendChanges(watch, it) }
        }
    }

    /** Passes the changes of one revision on to the watches of their keys. */
    fun announce(revision: Long, changes: List<KeyChange>) {
        for (watch in watches.toList()) {
            val matching = changes.filter { watch.range.contains(it.kv.key) }
            if (matching.isNotEmpty() && revision >= watch.startRevision) {
                sendChanges(watch, matching)
            }
        }
    }

    /** Forgets all watches; their connections are closed by the caller. */
    fun clear() {
        watches.clear()
    }

    private fun sendChanges(watch: OpenWatch, changes: List<KeyChange>) {
        val events = changes.map { WatchEvent(it.type, it.kv, it.previous.takeIf { watch.previousWanted }) }
        send(watch.exchange, WatchResponse(store.header(), events = events))
    }

    private fun send(exchange: HttpExchange, response: WatchResponse) {
        exchange.write(keyValueJson.encodeToString(WatchEnvelope(response)) + "\n")
    }

    private class OpenWatch(
        val range: KeyRange,
        val startRevision: Long,
        val previousWanted: Boolean,
        val exchange: HttpExchange,
    )
}
