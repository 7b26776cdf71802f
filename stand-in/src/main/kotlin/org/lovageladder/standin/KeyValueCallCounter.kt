package org.lovageladder.standin

import kotlinx.serialization.Serializable
import java.util.EnumMap
import kotlin.time.Duration.Companion.seconds

/** Counts calls per kind; an open watch counts as one call at its start and one in each second that it waits. */
internal class KeyValueMeter(thread: EventLoopThread, private val openWatches: () -> Int) {
    private val calls = EnumMap<KeyValueCall, Long>(KeyValueCall::class.java)

    init {
        thread.every(1.seconds) { count(KeyValueCall.WATCH, openWatches().toLong()) }
    }

    fun count(call: KeyValueCall, times: Long = 1) {
        calls.merge(call, times, Long::plus)
    }

    fun stats(revision: Long): KeyValueStats = KeyValueStats(
        calls = KeyValueCall.entries.associate { it.name.lowercase() to (calls[it] ?: 0) },
        reads = calls.filterKeys { !it.writes }.values.sum(),
        writes = calls.filterKeys { it.writes }.values.sum(),
        watches = openWatches(),
        revision = revision,
    )
}

/** Calls since the start by kind, and as reads and writes; [watches] are open now. */
@Serializable
internal data class KeyValueStats(
    val calls: Map<String, Long>,
    val reads: Long,
    val writes: Long,
    val watches: Int,
    val revision: Long,
)
