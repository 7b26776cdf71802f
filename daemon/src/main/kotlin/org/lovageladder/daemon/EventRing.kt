package org.lovageladder.daemon

import org.lovageladder.core.EventRecord
import org.lovageladder.core.RequestId
import org.lovageladder.http.EventFilter

/** Ring buffer of the last [capacity] events of this process. Safe for use on any thread. */
internal class EventRing(private val capacity: Int = DEFAULT_CAPACITY) {
    private val records = ArrayDeque<EventRecord>(capacity)

    /** Adds [record]; drops the oldest event when the ring is full. */
    @Synchronized
    fun add(record: EventRecord) {
        if (records.size == capacity) records.removeFirst()
        records.addLast(record)
    }

    /** Returns the newest events that match [filter], oldest first, at most as many as its limit. */
    fun select(filter: EventFilter): List<EventRecord> =
        snapshot().asReversed().asSequence().filter { matches(it, filter) }.take(filter.limit).toList().asReversed()

    /** Returns all stored events of [request], oldest first. */
    fun of(request: RequestId): List<EventRecord> = snapshot().filter { it.request == request }

    @Synchronized
    private fun snapshot(): List<EventRecord> = records.toList()

    private fun matches(record: EventRecord, filter: EventFilter): Boolean =
        (filter.request == null || record.request == filter.request) &&
            (filter.upstream == null || record.upstream == filter.upstream) &&
            (filter.note == null || record.note == filter.note) &&
            filter.afterMilliseconds.let { it == null || record.clock.milliseconds > it }

    private companion object {
        const val DEFAULT_CAPACITY = 8192
    }
}
