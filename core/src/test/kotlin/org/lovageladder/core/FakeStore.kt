package org.lovageladder.core

import kotlinx.serialization.json.Json

/** Key-value service in memory. The fuzz steps add unavailability, lost answers and outdated reads. */
internal class FakeStore {
    private val entries = sortedMapOf<String, StoredEntry>()
    private var revision = 0L
    val notes = ArrayList<AcceptedNote>()

    fun publish(note: AcceptedNote) {
        notes += note
        write(noteStoreKey(note.version), Json.encodeToString(AcceptedNote.serializer(), note))
    }

    fun write(key: String, value: String): Long {
        entries[key] = StoredEntry(key, value, ++revision)
        return revision
    }

    fun read(key: String): StoredEntry? = entries[key]

    /** Carries out [request]. Reads return only the first [visibleNotes] notes, as a server with outdated data does. */
    fun call(request: StoreRequest, visibleNotes: Int = notes.size): StoreAnswer = when (request) {
        is StoreRequest.Read -> StoreAnswer.Found(listOfNotNull(entries[request.key]))
        is StoreRequest.ReadAfter -> StoreAnswer.Found(after(request, visibleNotes))
        is StoreRequest.Replace -> replace(request)
        is StoreRequest.Create -> create(request)
        is StoreRequest.GrantLease -> StoreAnswer.Leased(++revision, request.timeToLive)
        is StoreRequest.RenewLease -> StoreAnswer.Leased(request.lease, kotlin.time.Duration.ZERO)
    }

    private fun after(request: StoreRequest.ReadAfter, visibleNotes: Int): List<StoredEntry> {
        val last = noteStoreKey(ReleaseVersion(visibleNotes.toLong()))
        return entries.values.filter { it.key.startsWith(request.prefix) && it.key > request.after && it.key <= last }
    }

    private fun replace(request: StoreRequest.Replace): StoreAnswer {
        val current = entries[request.write.key]
        if (current?.revision != request.expectedRevision) return StoreAnswer.Conflict(listOfNotNull(current))
        return StoreAnswer.Written(write(request.write.key, request.write.value))
    }

    private fun create(request: StoreRequest.Create): StoreAnswer {
        val standing = request.writes.mapNotNull { entries[it.key] }
        if (standing.isNotEmpty()) return StoreAnswer.Conflict(standing)
        request.writes.forEach { write(it.key, it.value) }
        return StoreAnswer.Written(revision)
    }
}
