package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Kind of change to the prefix cache; the serial names are vLLM's published event names. */
@Serializable
internal enum class CacheEventType {
    @SerialName("BlockStored")
    STORED,

    @SerialName("BlockRemoved")
    REMOVED,
}

@Serializable
internal data class CacheEvent(
    val sequence: Long,
    val type: CacheEventType,
    @SerialName("block_hashes") val blockHashes: List<String>,
)

@Serializable
internal data class CacheEventList(val events: List<CacheEvent>)

/**
 * The newest events of a prefix cache, listed [delay] after they happen.
 *
 * Every [omitEvery]th event is left out, so that readers see gaps in the sequence numbers; 0 omits none.
 */
internal class CacheEventLog(
    private val thread: EventLoopThread,
    private val delay: Duration,
    private val omitEvery: Int,
) {
    private val listed = ArrayDeque<CacheEvent>()
    private var lastSequence = 0L

    fun record(type: CacheEventType, blockHashes: List<String>) {
        val event = CacheEvent(++lastSequence, type, blockHashes)
        if (omitEvery == 0 || event.sequence % omitEvery != 0L) {
            thread.schedule(delay) { list(event) }
        }
    }

    /** Listed events whose sequence number is above [sequence]. */
    fun after(sequence: Long): CacheEventList = CacheEventList(listed.filter { it.sequence > sequence })

    private fun list(event: CacheEvent) {
        listed.addLast(event)
        if (listed.size > MAXIMUM_LISTED_EVENTS) {
            listed.removeFirst()
        }
    }

    private companion object {
        const val MAXIMUM_LISTED_EVENTS = 1000
    }
}
