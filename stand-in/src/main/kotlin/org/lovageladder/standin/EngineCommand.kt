package org.lovageladder.standin

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import kotlin.time.Duration.Companion.milliseconds

/** Flags of an [EngineStandIn]. */
internal class EngineCommand : ServerCommand("engine", "A language-model engine for prefill, decode or both.") {
    private val defaults = EngineSettings()
    private val role by option("--role", help = "Which calls it takes.")
        .choice(EngineRole.entries.associateBy { it.word })
        .default(defaults.role, defaultForHelp = defaults.role.word)
    private val engineName by option("--name", help = "Name in answers and metrics.").default(defaults.name)
    private val model by option("--model", help = "The only model name answered to; without it any name.")
    private val pieces by positiveInt("--pieces", "Memory in pieces.", defaults.pieces)
    private val pieceTokens by positiveInt("--piece-tokens", "Tokens in a piece.", defaults.pieceTokens)
    private val maximumRunning by positiveInt("--max-running", "Decode calls at once.", defaults.maximumRunning)
    private val prefillRate by
        positiveLong("--prefill-tokens-per-second", "Prefill rate.", defaults.prefillTokensPerSecond)
    private val baseTokenGap by
        milliseconds("--base-token-gap-ms", "Token gap of a batch of one.", defaults.baseTokenGap.inWholeMilliseconds)
    private val gapPerRunning by
        milliseconds("--gap-per-running-ms", "Added per further call.", defaults.tokenGapPerRunning.inWholeMilliseconds)
    private val keepTime by
        milliseconds("--keep-ms", "How long a prefill result is kept.", defaults.keepTime.inWholeMilliseconds)
    private val linkRate by
        positiveLong("--link-bytes-per-second", "Rate of the link to decode engines.", defaults.linkBytesPerSecond)
    private val tokenBytes by
        positiveLong("--kv-bytes-per-token", "Size of a prefill result per token.", defaults.keyValueBytesPerToken)
    private val reportLag by
        milliseconds("--report-lag-ms", "Age of the load in the metrics.", defaults.reportLag.inWholeMilliseconds)
    private val prefixCacheBlocks by
        count(
            "--prefix-cache-blocks",
            "Blocks of cached prompt prefixes; 0 caches nothing.",
            defaults.prefixCacheBlocks,
        )
    private val prefixBlockTokens by
        positiveInt("--prefix-block-tokens", "Tokens in a cached block.", defaults.prefixBlockTokens)
    private val cacheEventLag by
        milliseconds("--cache-event-lag-ms", "Delay of cache events.", defaults.cacheEventLag.inWholeMilliseconds)
    private val cacheEventGapEvery by
        count("--cache-event-gap-every", "Every so manyth is lost; 0 loses none.", defaults.cacheEventGapEvery)
    private val freeOnDisconnect by option(
        "--free-on-disconnect",
        help = "A closed connection cancels its call.",
    ).flag()
    private val ignoreFencing by option("--ignore-fencing", help = "Take orders with outdated numbers.").flag()

    override fun start(port: Int): RunningStandIn {
        val settings =
            EngineSettings(
                role = role,
                name = engineName,
                model = model,
                pieces = pieces,
                pieceTokens = pieceTokens,
                maximumRunning = maximumRunning,
                prefillTokensPerSecond = prefillRate,
                baseTokenGap = baseTokenGap.milliseconds,
                tokenGapPerRunning = gapPerRunning.milliseconds,
                keepTime = keepTime.milliseconds,
                linkBytesPerSecond = linkRate,
                keyValueBytesPerToken = tokenBytes,
                reportLag = reportLag.milliseconds,
                prefixCacheBlocks = prefixCacheBlocks,
                prefixBlockTokens = prefixBlockTokens,
                cacheEventLag = cacheEventLag.milliseconds,
                cacheEventGapEvery = cacheEventGapEvery,
                freeOnDisconnect = freeOnDisconnect,
                ignoreFencing = ignoreFencing,
            )
        val engine = EngineStandIn.start(port, settings) { haltProcess() }
        return RunningStandIn(engine, engine.port)
    }
}
