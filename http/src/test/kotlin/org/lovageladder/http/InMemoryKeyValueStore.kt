package org.lovageladder.http

import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.KeyValueStore
import org.lovageladder.core.Step
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoreWrite
import org.lovageladder.core.StoredEntry
import java.util.TreeMap
import kotlin.time.Duration

/**
 * In-memory key-value store that answers synchronously. Leases expire when [now] reaches their end. While [isDown],
 * every call is unavailable; [loseNextAnswer] makes the next write take effect but drops its answer.
 */
internal class InMemoryKeyValueStore(private val now: () -> Duration) : KeyValueStore {
    private val entries = TreeMap<String, EntryWithLease>()
    private val leases = HashMap<Long, Lease>()
    private val watches = LinkedHashSet<Watch>()
    private var revision = 1L
    private var lastLease = 0L

    var isDown: Boolean = false
        set(value) {
            field = value
            if (value) endWatches()
        }

    var loseNextAnswer: Boolean = false

    @Synchronized
    override fun call(request: StoreRequest, timeout: Duration, answer: (StoreAnswer) -> Unit) {
        if (isDown) {
            answer(StoreAnswer.Unavailable(connectionLost("the store is down")))
            return
        }
        removeExpired()
        val result = run(request)
        val lose = loseNextAnswer && result is StoreAnswer.Written
        if (lose) loseNextAnswer = false
        answer(if (lose) StoreAnswer.Unavailable(connectionLost("the answer was lost")) else result)
    }

    @Synchronized
    override fun watch(prefix: String, changed: (StoredEntry) -> Unit, ended: (Fault) -> Unit): AutoCloseable {
        val watch = Watch(prefix, changed, ended)
        if (isDown) ended(connectionLost("the store is down")) else watches.add(watch)
        return AutoCloseable { watches.remove(watch) }
    }

    override fun close(): Unit = endWatches()

    private fun run(request: StoreRequest): StoreAnswer = when (request) {
        is StoreRequest.Create -> create(request)
        is StoreRequest.Replace -> replace(request)
        is StoreRequest.Read -> StoreAnswer.Found(listOfNotNull(entries[request.key]?.entry))
        is StoreRequest.ReadAfter -> StoreAnswer.Found(
            entries.tailMap(request.after, false).values.map { it.entry }
                .filter { it.key.startsWith(request.prefix) }
                .take(request.limit),
        )
        is StoreRequest.GrantLease -> grant(request.timeToLive)
        is StoreRequest.RenewLease -> renew(request.lease)
    }

    private fun create(request: StoreRequest.Create): StoreAnswer {
        val current = request.writes.mapNotNull { entries[it.key]?.entry }
        return when {
            current.isNotEmpty() -> StoreAnswer.Conflict(current)
            request.lease != null && request.lease !in leases ->
                StoreAnswer.Unavailable(Fault(Step.STORE, PEER, FaultCause.REJECTED, "the lease does not exist"))
            else -> write(request.writes, request.lease)
        }
    }

    private fun replace(request: StoreRequest.Replace): StoreAnswer {
        val old = entries[request.write.key]
        if (old?.entry?.revision != request.expectedRevision) return StoreAnswer.Conflict(listOfNotNull(old?.entry))
        return write(listOf(request.write), lease = null)
    }

    private fun write(writes: List<StoreWrite>, lease: Long?): StoreAnswer {
        revision++
        for (write in writes) {
            val entry = StoredEntry(write.key, write.value, revision)
            entries[write.key] = EntryWithLease(entry, lease)
            watches.toList().filter { write.key.startsWith(it.prefix) }.forEach { it.changed(entry) }
        }
        return StoreAnswer.Written(revision)
    }

    private fun grant(timeToLive: Duration): StoreAnswer {
        leases[++lastLease] = Lease(timeToLive, now() + timeToLive)
        return StoreAnswer.Leased(lastLease, timeToLive)
    }

    private fun renew(id: Long): StoreAnswer {
        val lease = leases[id] ?: return StoreAnswer.Leased(id, Duration.ZERO)
        leases[id] = lease.copy(end = now() + lease.timeToLive)
        return StoreAnswer.Leased(id, lease.timeToLive)
    }

    private fun removeExpired() {
        leases.values.removeIf { it.end <= now() }
        entries.values.removeIf { it.lease != null && it.lease !in leases }
    }

    private fun endWatches() {
        val ending = watches.toList()
        watches.clear()
        ending.forEach { it.ended(connectionLost("the watch ended")) }
    }

    private fun connectionLost(detail: String) = Fault(Step.STORE, PEER, FaultCause.CONNECTION_LOST, detail)

    private data class EntryWithLease(val entry: StoredEntry, val lease: Long?)

    private data class Lease(val timeToLive: Duration, val end: Duration)

    private class Watch(val prefix: String, val changed: (StoredEntry) -> Unit, val ended: (Fault) -> Unit)

    private companion object {
        const val PEER = "memory"
    }
}
