package org.lovageladder.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the connections between processes. A frame is at most [frameLimitBytes] long; the first frame of a
 * connection at most [firstFrameLimitBytes], and it has to arrive within [firstFrameTimeout]. A connection whose
 * outgoing queue exceeds [outgoingLimit] messages or about [outgoingLimitBytes] is closed. Messages that were queued
 * before a close are still sent for [closeTimeout].
 */
public data class PeerSettings(
    val frameLimitBytes: Int = FRAME_LIMIT_BYTES,
    val firstFrameLimitBytes: Int = FIRST_FRAME_LIMIT_BYTES,
    val firstFrameTimeout: Duration = 5.seconds,
    val connectTimeout: Duration = 2.seconds,
    val outgoingLimit: Int = OUTGOING_LIMIT_MESSAGES,
    val outgoingLimitBytes: Long = OUTGOING_LIMIT_BYTES,
    val closeTimeout: Duration = 1.seconds,
)

private const val FRAME_LIMIT_BYTES = 16 * 1024 * 1024
private const val FIRST_FRAME_LIMIT_BYTES = 64 * 1024
private const val OUTGOING_LIMIT_MESSAGES = 16_384
private const val OUTGOING_LIMIT_BYTES = 24L * 1024 * 1024
