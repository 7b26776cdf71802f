package org.lovageladder.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of caller connections. A connection is closed when a request makes no progress for [readTimeout], is not
 * complete within [requestTimeout], or when no request starts for [idleTimeout]. A caller that does not read its answer
 * is disconnected after [writeTimeout], or at once when more than [maximumUnsentBytes] of a stream wait to be sent. The
 * server keeps at most [maximumConnections] open.
 */
public data class HttpLimits(
    val maximumBodyBytes: Int = MAXIMUM_BODY_BYTES,
    val maximumHeaderBytes: Int = MAXIMUM_HEADER_BYTES,
    val readTimeout: Duration = 10.seconds,
    val requestTimeout: Duration = 60.seconds,
    val idleTimeout: Duration = 75.seconds,
    val writeTimeout: Duration = 30.seconds,
    val maximumUnsentBytes: Int = MAXIMUM_UNSENT_BYTES,
    val maximumConnections: Int = MAXIMUM_CONNECTIONS,
)

private const val MAXIMUM_BODY_BYTES = 8 * 1024 * 1024
private const val MAXIMUM_HEADER_BYTES = 32 * 1024
private const val MAXIMUM_UNSENT_BYTES = 1024 * 1024
private const val MAXIMUM_CONNECTIONS = 10_000
