package org.lovageladder.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a caller's connection may use. [readIdle] bounds the pause between two parts of one request, [readWhole] the
 * time for all of it; [keepAlive] the pause between two requests; [writeIdle] how long a caller may leave an answer
 * unread.
 */
public data class HttpLimits(
    val bodyBytes: Int = 8 * 1024 * 1024,
    val headerBytes: Int = 32 * 1024,
    val readIdle: Duration = 10.seconds,
    val readWhole: Duration = 60.seconds,
    val keepAlive: Duration = 75.seconds,
    val writeIdle: Duration = 30.seconds,
    val connections: Int = 10_000,
)
