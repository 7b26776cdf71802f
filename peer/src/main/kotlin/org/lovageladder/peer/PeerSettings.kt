package org.lovageladder.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of the connections between processes. The body of a frame has at most [maximumFrameBytes]; that of the first
 * frame of a connection at most [maximumFirstFrameBytes], and it must arrive within [firstFrameTimeout]. A connection
 * is closed when its outgoing queue exceeds [maximumQueuedMessages] or an estimated [maximumQueuedBytes]. Messages that
 * were queued before a close are still sent for [closeTimeout].
 */
public data class PeerSettings(
    val maximumFrameBytes: Int = DEFAULT_MAXIMUM_FRAME_BYTES,
    val maximumFirstFrameBytes: Int = DEFAULT_MAXIMUM_FIRST_FRAME_BYTES,
    val firstFrameTimeout: Duration = 5.seconds,
    val connectTimeout: Duration = 2.seconds,
    val maximumQueuedMessages: Int = DEFAULT_MAXIMUM_QUEUED_MESSAGES,
    val maximumQueuedBytes: Long = DEFAULT_MAXIMUM_QUEUED_BYTES,
    val closeTimeout: Duration = 1.seconds,
)

private const val DEFAULT_MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024
private const val DEFAULT_MAXIMUM_FIRST_FRAME_BYTES = 64 * 1024
private const val DEFAULT_MAXIMUM_QUEUED_MESSAGES = 16_384
private const val DEFAULT_MAXIMUM_QUEUED_BYTES = 24L * 1024 * 1024
