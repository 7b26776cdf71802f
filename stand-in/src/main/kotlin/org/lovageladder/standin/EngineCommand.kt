package org.lovageladder.standin

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import kotlin.time.Duration.Companion.milliseconds

/** The `engine` subcommand; its flags set the [EngineSettings] of an [EngineStandIn]. */
internal class EngineCommand : ServerCommand("engine", "A language-model engine for prefill, decode or both.") {
    private val defaults = EngineSettings()
    private val role by option("--role", help = "Kinds of calls it accepts.")
        .choice(EngineRole.entries.associateBy { it.wireName })
        .default(defaults.role, defaultForHelp = defaults.role.wireName)
    private val engineName by option("--name", help = "Name in answers and metrics.").default(defaults.name)
    private val model by option("--model", help = "The only base model name accepted; any name if unset.")
    private val pieces by positiveIntOption("--pieces", "Memory in pieces.", defaults.pieces)
    private val pieceTokens by positiveIntOption("--piece-tokens", "Tokens in a piece.", defaults.pieceTokens)
    private val maximumRunning by
        positiveIntOption("--max-running", "Maximum concurrent decode calls.", defaults.maximumRunning)
    private val prefillRate by
        positiveLongOption("--prefill-tokens-per-second", "Prefill rate.", defaults.prefillTokensPerSecond)
    private val baseTokenGap by
        millisecondsOption(
            "--base-token-gap-ms",
            "Token gap for a batch of one.",
            defaults.baseTokenGap.inWholeMilliseconds,
        )
    private val gapPerRunning by
        millisecondsOption(
            "--gap-per-running-ms",
            "Token gap added per further call.",
            defaults.tokenGapPerRunning.inWholeMilliseconds,
        )
    private val keepTime by
        millisecondsOption("--keep-ms", "How long a prefill result is kept.", defaults.keepTime.inWholeMilliseconds)
    private val linkRate by
        positiveLongOption(
            "--link-bytes-per-second",
            "Rate of the link to decode engines.",
            defaults.linkBytesPerSecond,
        )
    private val bytesPerToken by
        positiveLongOption(
            "--kv-bytes-per-token",
            "Size of a prefill result per token.",
            defaults.keyValueBytesPerToken,
        )
    private val reportLag by
        millisecondsOption(
            "--report-lag-ms",
            "Age of the load shown in metrics.",
            defaults.reportLag.inWholeMilliseconds,
        )
    private val prefixCacheBlocks by
        nonNegativeIntOption(
            "--prefix-cache-blocks",
            "Capacity of the prefix cache; 0 disables it.",
            defaults.prefixCacheBlocks,
        )
    private val prefixBlockTokens by
        positiveIntOption("--prefix-block-tokens", "Tokens in a cached block.", defaults.prefixBlockTokens)
    private val cacheEventLag by
        millisecondsOption("--cache-event-lag-ms", "Delay of cache events.", defaults.cacheEventLag.inWholeMilliseconds)
    private val cacheEventGapEvery by
        nonNegativeIntOption(
            "--cache-event-gap-every",
            "Omit every Nth cache event; 0 omits none.",
            defaults.cacheEventGapEvery,
        )
    private val freeOnDisconnect by option(
        "--free-on-disconnect",
        help = "Cancel a call when its connection closes.",
    ).flag()
    private val ignoreFencing by option("--ignore-fencing", help = "Accept outdated fencing numbers.").flag()

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
                keyValueBytesPerToken = bytesPerToken,
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
