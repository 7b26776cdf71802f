package org.lovageladder.standin

import kotlinx.serialization.Serializable
import java.util.EnumMap
import kotlin.time.Duration.Companion.seconds

/** Counts calls by kind; a watch counts as one call when it is opened and one for each second that it stays open. */
internal class KeyValueCallCounter(thread: EventLoopThread, private val openWatches: () -> Int) {
    private val calls = EnumMap<KeyValueCall, Long>(KeyValueCall::class.java)

    init {
        thread.scheduleEvery(1.seconds) { record(KeyValueCall.WATCH, openWatches().toLong()) }
    }

    fun record(call: KeyValueCall, times: Long = 1) {
        calls.merge(call, times, Long::plus)
    }

    fun stats(revision: Long): KeyValueStats = KeyValueStats(
        calls = KeyValueCall.entries.associate { it.name.lowercase() to (calls[it] ?: 0) },
        reads = calls.filterKeys { !it.isWrite }.values.sum(),
        writes = calls.filterKeys { it.isWrite }.values.sum(),
        watches = openWatches(),
        revision = revision,
    )
}

/** Calls since the start by kind, and as reads and writes; [watches] is the number of open watches. */
@Serializable
internal data class KeyValueStats(
    val calls: Map<String, Long>,
    val reads: Long,
    val writes: Long,
    val watches: Int,
    val revision: Long,
)
