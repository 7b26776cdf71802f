package org.lovageladder.core.world

import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Step
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoreWrite
import org.lovageladder.core.StoredEntry
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Key-value service with the faults that the platform's one shows. */
internal class FakeStore(private val time: VirtualTime) {
    private val entries = TreeMap<String, StoredEntry>()
    private val watchers = mutableListOf<(StoredEntry) -> Unit>()
    private var revision = 0L
    private var leases = 0L

    var down = false
    var slow = false
    var answersToLose = 0

    /** Revisions of notes that reads leave out, as if an older copy answered. */
    var hiddenNotes = 0

    fun watch(changed: (StoredEntry) -> Unit) {
        watchers += changed
    }

    /** Writes at once, whatever the faults. */
    fun put(write: StoreWrite) {
        revision++
        write(write)
    }

    fun call(request: StoreRequest, timeout: Duration, answered: (StoreAnswer) -> Unit) {
        var done = false
        val once: (StoreAnswer) -> Unit = { answer ->
            if (!done) {
                done = true
                answered(answer)
            }
        }
        time.after(timeout) { once(unavailable()) }
        if (down) return
        val delay = if (slow) SLOW else FAST
        time.after(delay) {
            if (down) return@after
            val answer = take(request)
            val lost = answer is StoreAnswer.Written && answersToLose > 0
            if (lost) answersToLose-- else time.after(FAST) { once(answer) }
        }
    }

    private fun take(request: StoreRequest): StoreAnswer = when (request) {
        is StoreRequest.Create -> create(request)
        is StoreRequest.Replace -> replace(request)
        is StoreRequest.Read -> StoreAnswer.Found(listOfNotNull(entries[request.key]))
        is StoreRequest.ReadAfter -> {
            val found = entries.tailMap(request.after, false).values.filter { it.key.startsWith(request.prefix) }
            StoreAnswer.Found(found.dropLast(hiddenNotes).take(request.limit))
        }
        is StoreRequest.GrantLease -> StoreAnswer.Leased(++leases, request.timeToLive)
        is StoreRequest.RenewLease -> StoreAnswer.Leased(request.lease, 1.milliseconds)
    }

    private fun create(request: StoreRequest.Create): StoreAnswer {
        val standing = request.writes.mapNotNull { entries[it.key] }
        if (standing.isNotEmpty()) return StoreAnswer.Conflict(standing)
        revision++
        request.writes.forEach(::write)
        return StoreAnswer.Written(revision)
    }

    private fun replace(request: StoreRequest.Replace): StoreAnswer {
        val current = entries[request.write.key]
        if (current?.revision != request.expectedRevision) return StoreAnswer.Conflict(listOfNotNull(current))
        revision++
        write(request.write)
        return StoreAnswer.Written(revision)
    }

    private fun write(write: StoreWrite) {
        val entry = StoredEntry(write.key, write.value, revision)
        entries[write.key] = entry
        watchers.forEach { it(entry) }
    }

    private fun unavailable() = StoreAnswer.Unavailable(Fault(Step.STORE, "store", FaultCause.TIMEOUT))

    private companion object {
        val FAST = 1.milliseconds
        val SLOW = 300.milliseconds
    }
}
