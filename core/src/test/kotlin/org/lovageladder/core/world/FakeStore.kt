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

/** In-memory key-value service with injectable faults. */
internal class FakeStore(private val time: VirtualTime) {
    private val entries = TreeMap<String, StoredEntry>()
    private val watchers = mutableListOf<(StoredEntry) -> Unit>()
    private var revision = 0L
    private var lastLease = 0L

    var isDown = false
    var isSlow = false
    var writeAnswersToLose = 0

    /** Number of newest notes that reads leave out, as a lagging replica would. */
    var hiddenNotes = 0

    fun watch(onChange: (StoredEntry) -> Unit) {
        watchers += onChange
    }

    /** Writes at once and ignores the injected faults. */
    fun put(write: StoreWrite) {
        revision++
        write(write)
    }

    fun call(request: StoreRequest, timeout: Duration, onAnswer: (StoreAnswer) -> Unit) {
        var isAnswered = false
        val answerOnce: (StoreAnswer) -> Unit = { answer ->
            if (!isAnswered) {
                isAnswered = true
                onAnswer(answer)
            }
        }
        time.after(timeout) { answerOnce(unavailable()) }
        if (isDown) return
        val delay = if (isSlow) SLOW_DELAY else FAST_DELAY
        time.after(delay) {
            if (isDown) return@after
            val answer = process(request)
            val isAnswerLost = answer is StoreAnswer.Written && writeAnswersToLose > 0
            if (isAnswerLost) writeAnswersToLose-- else time.after(FAST_DELAY) { answerOnce(answer) }
        }
    }

    private fun process(request: StoreRequest): StoreAnswer = when (request) {
        is StoreRequest.Create -> create(request)
        is StoreRequest.Replace -> replace(request)
        is StoreRequest.Read -> StoreAnswer.Found(listOfNotNull(entries[request.key]))
        is StoreRequest.ReadAfter -> {
            val found = entries.tailMap(request.after, false).values.filter { it.key.startsWith(request.prefix) }
            StoreAnswer.Found(found.dropLast(hiddenNotes).take(request.limit))
        }
        is StoreRequest.GrantLease -> StoreAnswer.Leased(++lastLease, request.timeToLive)
        is StoreRequest.RenewLease -> StoreAnswer.Leased(request.lease, 1.milliseconds)
    }

    private fun create(request: StoreRequest.Create): StoreAnswer {
        val existing = request.writes.mapNotNull { entries[it.key] }
        if (existing.isNotEmpty()) return StoreAnswer.Conflict(existing)
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
        val FAST_DELAY = 1.milliseconds
        val SLOW_DELAY = 300.milliseconds
    }
}
