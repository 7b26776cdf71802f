package org.lovageladder.daemon

import org.lovageladder.core.EventRecord
import org.lovageladder.core.RequestId
import org.lovageladder.http.EventFilter

/** The last [capacity] events of this process. May be used on any thread. */
internal class EventRing(private val capacity: Int = CAPACITY) {
    private val records = ArrayDeque<EventRecord>(capacity)

    /** Adds [record] and drops the oldest when the ring is full. */
    @Synchronized
    fun add(record: EventRecord) {
        if (records.size == capacity) records.removeFirst()
        records.addLast(record)
    }

    /** The newest events that fit [filter], in order of time. */
    fun select(filter: EventFilter): List<EventRecord> =
        copy().asReversed().asSequence().filter { fits(it, filter) }.take(filter.limit).toList().asReversed()

    /** All events kept of [request], in order of time. */
    fun of(request: RequestId): List<EventRecord> = copy().filter { it.request == request }

    @Synchronized
    private fun copy(): List<EventRecord> = records.toList()

    private fun fits(record: EventRecord, filter: EventFilter): Boolean =
        (filter.request == null || record.request == filter.request) &&
            (filter.upstream == null || record.upstream == filter.upstream) &&
            (filter.note == null || record.note == filter.note) &&
            filter.afterMilliseconds.let { it == null || record.clock.milliseconds > it }

    private companion object {
        const val CAPACITY = 8192
    }
}
