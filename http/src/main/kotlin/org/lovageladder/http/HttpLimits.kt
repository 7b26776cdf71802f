package org.lovageladder.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a caller's connection may use. [readIdle] bounds the pause between two parts of one request, [readWhole] the
 * time for all of it; [keepAlive] the pause between two requests. A caller that leaves much of a stream unread is
 * given up after [writeIdle], or at once when [unreadBytes] wait for it.
 */
public data class HttpLimits(
    val bodyBytes: Int = MAXIMUM_BODY_BYTES,
    val headerBytes: Int = MAXIMUM_HEADER_BYTES,
    val readIdle: Duration = 10.seconds,
    val readWhole: Duration = 60.seconds,
    val keepAlive: Duration = 75.seconds,
    val writeIdle: Duration = 30.seconds,
    val unreadBytes: Int = MAXIMUM_UNREAD_BYTES,
    val connections: Int = MAXIMUM_CONNECTIONS,
)

private const val MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
private const val MAXIMUM_HEADER_BYTES = 32 * 1024
private const val MAXIMUM_UNREAD_BYTES = 1024 * 1024
private const val MAXIMUM_CONNECTIONS = 10_000
