package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Which kinds of calls an engine stand-in accepts. */
public enum class EngineRole {
    PREFILL,
    DECODE,
    BOTH,
    ;

    internal val wireName: String = name.lowercase()

    internal val acceptsDecode: Boolean
        get() = this != PREFILL

    internal val acceptsPrefill: Boolean
        get() = this != DECODE
}

/** Size, speed and optional behaviour of an [EngineStandIn]. */
public data class EngineSettings(
    val role: EngineRole = EngineRole.BOTH,
    val name: String = "engine",
    /** The only model name accepted besides loaded models and adapters; null accepts any name. */
    val model: String? = null,
    val pieces: Int = 80,
    val pieceTokens: Int = 4096,
    val maximumRunning: Int = 20,
    val prefillTokensPerSecond: Long = 20_000,
    val baseTokenGap: Duration = 20.milliseconds,
    val tokenGapPerRunning: Duration = 1.milliseconds,
    /** How long a prefill result can be fetched after the prefill has ended. */
    val keepTime: Duration = 800.milliseconds,
    /** Rate at which this engine sends prefill results, shared by all fetches in progress. */
    val linkBytesPerSecond: Long = 4_000_000_000,
    val keyValueBytesPerToken: Long = 100_000,
    /** Age of the load that the metrics show. */
    val reportLag: Duration = 2.seconds,
    /** Capacity of the prefix cache in blocks; 0 disables it. */
    val prefixCacheBlocks: Int = 0,
    val prefixBlockTokens: Int = 64,
    /** Delay before a cache event is listed. */
    val cacheEventLag: Duration = 1.seconds,
    /** Every Nth cache event is omitted; 0 omits none. */
    val cacheEventGapEvery: Int = 0,
    /** Whether closing a connection cancels its call; otherwise only a cancel order does. */
    val freeOnDisconnect: Boolean = false,
    /** Accepts orders with outdated fencing numbers. */
    val ignoreFencing: Boolean = false,
)
