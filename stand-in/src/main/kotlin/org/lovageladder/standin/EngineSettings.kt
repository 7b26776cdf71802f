package org.lovageladder.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What an engine stand-in may be asked to do. */
public enum class EngineRole {
    PREFILL,
    DECODE,
    BOTH,
    ;

    internal val word: String = name.lowercase()

    internal val takesDecode: Boolean
        get() = this != PREFILL

    internal val takesPrefill: Boolean
        get() = this != DECODE
}

/** Size, speed and habits of an [EngineStandIn]. */
public data class EngineSettings(
    val role: EngineRole = EngineRole.BOTH,
    val name: String = "engine",
    /** The only model name answered to, besides loaded models and adapters; null answers to any. */
    val model: String? = null,
    val pieces: Int = 80,
    val pieceTokens: Int = 4096,
    val maximumRunning: Int = 20,
    val prefillTokensPerSecond: Long = 20_000,
    val baseTokenGap: Duration = 20.milliseconds,
    val tokenGapPerRunning: Duration = 1.milliseconds,
    /** How long a prefill's result can be fetched after the prefill has ended. */
    val keepTime: Duration = 800.milliseconds,
    /** Rate at which this engine sends prefill results, shared by all fetches under way. */
    val linkBytesPerSecond: Long = 4_000_000_000,
    val keyValueBytesPerToken: Long = 100_000,
    /** Age of the load that the metrics show. */
    val reportLag: Duration = 2.seconds,
    /** Blocks of prompt prefixes that need no prefill again; 0 caches nothing. */
    val prefixCacheBlocks: Int = 0,
    val prefixBlockTokens: Int = 64,
    /** How late cache events are shown. */
    val cacheEventLag: Duration = 1.seconds,
    /** Every so manyth cache event is lost; 0 loses none. */
    val cacheEventGapEvery: Int = 0,
    /** Whether a closed connection ends its generation; otherwise only a cancel does. */
    val freeOnDisconnect: Boolean = false,
    val ignoreFencing: Boolean = false,
)
