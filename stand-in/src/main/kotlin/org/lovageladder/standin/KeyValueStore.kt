package org.lovageladder.standin

import java.util.TreeMap

/** Refuses a key-value call with the HTTP [status], the gRPC status [code] and etcd's published error text. */
internal class KeyValueRefused(val status: Int, val code: Int, override val message: String) :
    Exception(message, null, false, false) {
    companion object {
        private const val INVALID_ARGUMENT_CODE = 3
        private const val NOT_FOUND_CODE = 5
        private const val OUT_OF_RANGE_CODE = 11

        fun invalid(message: String) = KeyValueRefused(RequestRefused.BAD_REQUEST, INVALID_ARGUMENT_CODE, message)

        fun notFound(message: String) = KeyValueRefused(RequestRefused.NOT_FOUND, NOT_FOUND_CODE, message)

        fun outOfRange(message: String) = KeyValueRefused(RequestRefused.BAD_REQUEST, OUT_OF_RANGE_CODE, message)
    }
}

/** A change of one key at one revision; [previous] is the replaced or deleted entry. */
internal data class KeyChange(val type: EventType, val kv: KeyValue, val previous: KeyValue?)

/**
 * Multi-version key-value store with the revisions of etcd v3.
 *
 * Each transaction that changes something creates one revision. Earlier revisions stay readable while their changes
 * are among the last [MAXIMUM_HISTORY_CHANGES].
 */
internal class KeyValueStore(private val onChanges: (revision: Long, changes: List<KeyChange>) -> Unit) {
    private val current = TreeMap<String, KeyValue>()
    private val history = ArrayDeque<KeyChange>()

    /** The newest revision; an empty store has revision 1. */
    var revision: Long = 1
        private set

    /** History up to this revision has been removed. */
    var compactRevision: Long = 0
        private set

    /** Reads the keys in [request] as of its revision, or as of [defaultRevision]. */
    fun range(request: RangeRequest, defaultRevision: Long = revision): RangeResponse {
        val targetRevision = if (request.revision > 0) request.revision else defaultRevision
        val range = KeyRange(request.key, request.rangeEnd)
        val found = entriesAt(targetRevision, range)
        val limit = if (request.limit > 0) request.limit.toInt() else found.size
        val returned = if (request.countOnly) emptyList() else found.take(limit)
        return RangeResponse(
            header = header(minOf(defaultRevision, revision)),
            kvs = if (request.keysOnly) returned.map { it.copy(value = "") } else returned,
            more = !request.countOnly && found.size > limit,
            count = found.size.toLong(),
        )
    }

    /** The current entry of [key], or null. */
    fun get(key: String): KeyValue? = current[key]

    /** Runs [change] as one revision and passes its changes to [onChanges]; no changes, no new revision. */
    fun <Result> commit(change: PendingRevision.() -> Result): Result {
        val pending = PendingRevision(revision + 1)
        val result = pending.change()
        if (pending.changes.isNotEmpty()) {
            revision = pending.number
            history.addAll(pending.changes)
            trimHistory()
            onChanges(revision, pending.changes)
        }
        return result
    }

    /** All changes in [range] from [startRevision] on, oldest first. */
    fun changesSince(startRevision: Long, range: KeyRange): List<KeyChange> =
        history.filter { it.kv.modRevision >= startRevision && range.contains(it.kv.key) }

    fun header(revision: Long = this.revision): ResponseHeader = ResponseHeader(revision)

    private fun entriesAt(targetRevision: Long, range: KeyRange): List<KeyValue> {
        if (targetRevision > revision) {
            throw KeyValueRefused.outOfRange("etcdserver: mvcc: required revision is a future revision")
        }
        if (targetRevision < compactRevision) {
            throw KeyValueRefused.outOfRange("etcdserver: mvcc: required revision has been compacted")
        }
        if (range.end.isEmpty() && targetRevision == revision) {
            return listOfNotNull(current[range.key])
        }
        val values = TreeMap(range.select(current))
        for (index in history.indices.reversed()) {
            val change = history[index]
            if (change.kv.modRevision <= targetRevision) {
                break
            }
            if (range.contains(change.kv.key)) {
                revert(change, values)
            }
        }
        return values.values.toList()
    }

    private fun revert(change: KeyChange, values: TreeMap<String, KeyValue>) {
        if (change.previous == null) {
            values.remove(change.kv.key)
        } else {
            values[change.kv.key] = change.previous
        }
    }

    private fun trimHistory() {
        while (history.size > MAXIMUM_HISTORY_CHANGES) {
            compactRevision = history.removeFirst().kv.modRevision
        }
    }

    /** The changes of one transaction; each is visible to reads at once. */
    inner class PendingRevision(val number: Long) {
        val changes = ArrayList<KeyChange>()

        fun put(request: PutRequest): PutResponse {
            val previous = current[request.key]
            val value =
                KeyValue(
                    key = request.key,
                    createRevision = previous?.createRevision ?: number,
                    modRevision = number,
                    version = (previous?.version ?: 0) + 1,
                    value = request.value,
                    lease = request.lease,
                )
            current[request.key] = value
            changes.add(KeyChange(EventType.PUT, value, previous))
            return PutResponse(header(number), previous.takeIf { request.returnPrevious })
        }

        fun deleteRange(request: DeleteRangeRequest): DeleteRangeResponse {
            val range = KeyRange(request.key, request.rangeEnd)
            val deleted = range.select(current).values.toList()
            deleted.forEach { previous ->
                current.remove(previous.key)
                val tombstone = KeyValue(key = previous.key, modRevision = number)
                changes.add(KeyChange(EventType.DELETE, tombstone, previous))
            }
            val returned = if (request.returnPrevious) deleted else emptyList()
            return DeleteRangeResponse(
                header(if (deleted.isEmpty()) revision else number),
                deleted.size.toLong(),
                returned,
            )
        }

        fun range(request: RangeRequest): RangeResponse = this@KeyValueStore.range(request)
    }

    private companion object {
        const val MAXIMUM_HISTORY_CHANGES = 100_000
    }
}
