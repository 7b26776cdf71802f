package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** What happened to blocks of the prefix cache, in the published words. */
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

/** The newest events of a prefix cache, shown [lag] late and without every [gapEvery]th; 0 leaves none out. */
internal class CacheEvents(private val thread: EventLoopThread, private val lag: Duration, private val gapEvery: Int) {
    private val shown = ArrayDeque<CacheEvent>()
    private var lastSequence = 0L

    fun add(type: CacheEventType, blockHashes: List<String>) {
        val event = CacheEvent(++lastSequence, type, blockHashes)
        if (gapEvery == 0 || event.sequence % gapEvery != 0L) {
            thread.after(lag) { show(event) }
        }
    }

    /** The events shown by now whose sequence number is above [sequence]. */
    fun after(sequence: Long): CacheEventList = CacheEventList(shown.filter { it.sequence > sequence })

    private fun show(event: CacheEvent) {
        shown.addLast(event)
        if (shown.size > KEPT_EVENTS) {
            shown.removeFirst()
        }
    }

    private companion object {
        const val KEPT_EVENTS = 1000
    }
}
