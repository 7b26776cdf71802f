package org.lovageladder.http.forward

import org.lovageladder.core.forward.RequestMemory

/**
 * Limits the memory for callers' requests to [maximumBytes] in total, from the arrival of a request to its end.
 * Requests of more than [SMALL_REQUEST_BYTES] may fill three quarters of it; the rest is kept for small ones.
 *
 * Load pattern: many large requests at once. Confined to one thread, except for [heldBytes].
 */
public class RequestBufferPool(private val maximumBytes: Int = DEFAULT_BYTES) {
    private val maximumBytesForLarge = maximumBytes / SHARES * SHARES_FOR_LARGE

    /** Bytes that all requests hold. May be read on any thread. */
    @Volatile
    public var heldBytes: Int = 0
        private set

    internal fun newShare(): Share = Share()

    /** What one request holds. */
    internal inner class Share {
        private var bytes = 0
        private var isReleased = false

        /** Holds [more] bytes. Returns false and changes nothing when a limit would be exceeded. */
        fun tryHold(more: Long): Boolean {
            val size = bytes + more
            val limit = if (size > SMALL_REQUEST_BYTES) maximumBytesForLarge else maximumBytes
            if (isReleased || heldBytes + more > limit) return false
            add(more.toInt())
            return true
        }

        /** Gives back [unused] of the bytes held. */
        fun giveBack(unused: Int) = add(-unused)

        /** Gives back everything. Later calls change nothing. */
        fun release() {
            isReleased = true
            add(-bytes)
        }

        /** State of the pool when this request, with [requestBytes] known so far, does not fit. */
        fun describeRefusal(requestBytes: Long) = RequestMemory(requestBytes, heldBytes, maximumBytes)

        private fun add(change: Int) {
            bytes += change
            heldBytes += change
        }
    }

    public companion object {
        /** Default of the limit. */
        public const val DEFAULT_BYTES: Int = 16 * 1024 * 1024

        /** Smallest limit that can be set. */
        public const val LEAST_BYTES: Int = 1024 * 1024

        /**
         * Largest limit that can be set: half of the heap, where requests are kept, and of the direct memory, where
         * each is copied while it is written to an upstream, to two of them at times.
         */
        public val mostBytes: Int
            get() = minOf(Runtime.getRuntime().maxMemory(), maximumDirectMemory(), Int.MAX_VALUE.toLong())
                .div(2).toInt()

        internal const val SMALL_REQUEST_BYTES = 16 * 1024
        private const val SHARES = 4
        private const val SHARES_FOR_LARGE = 3
    }
}
