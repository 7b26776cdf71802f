package org.lovageladder.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.required
import org.lovageladder.core.ChoicePolicy
import org.lovageladder.core.EntrySettings
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The subcommand that runs an entry. */
internal class EntryCommand : CliktCommand("entry") {
    private val common by CommonFlags()
    private val listen by addressFlag("--listen", "Address where callers connect.").required()
    private val bootstrap by
        companionsFlag("--bootstrap", "Companions that give the release when the key-value service is unavailable.")
    private val policy by choiceFlag(
        "--policy",
        "Policy that chooses upstreams.",
        POLICIES_BY_NAME,
        ChoicePolicy.LEDGER,
    )
    private val hedging by switchFlag("--hedging", "Send a hedge beside a slow attempt.", true)
    private val reserveFirst by switchFlag("--reserve-first", "Reserve decode memory before a prefill.", true)
    private val earlyRefusal by switchFlag(
        "--early-refusal",
        "Refuse requests that cannot meet their latency target.",
        true,
    )
    private val retryBudget by ratioFlag(
        "--retry-budget",
        "Maximum ratio of retries to first attempts.",
        DEFAULT_RETRY_BUDGET,
    )
    private val hedgeBudget by ratioFlag(
        "--hedge-budget",
        "Maximum ratio of hedges to first attempts.",
        DEFAULT_HEDGE_BUDGET,
    )
    private val ejectedShare by ratioFlag(
        "--ejected-share",
        "Maximum share of a pool that may be ejected.",
        DEFAULT_EJECTED_SHARE,
    )
    private val heartbeatInterval by durationFlag(
        "--heartbeat-interval",
        "Interval between heartbeats.",
        1.seconds,
        ALLOWED_DURATIONS,
    )
    private val peerSilenceLimit by
        durationFlag(
            "--peer-silence-limit",
            "Time without messages after which a companion is disconnected.",
            3.seconds,
            ALLOWED_DURATIONS,
        )
    private val reconnectInterval by
        durationFlag("--reconnect-interval", "Delay before connecting again.", 500.milliseconds, ALLOWED_DURATIONS)
    private val storeTimeout by
        durationFlag(
            "--store-timeout",
            "Timeout of calls to the key-value service.",
            500.milliseconds,
            ALLOWED_DURATIONS,
        )
    private val storeRefreshInterval by
        durationFlag("--store-refresh-interval", "Interval between reads of the release.", 2.seconds, ALLOWED_DURATIONS)
    private val voidTimeout by
        durationFlag("--void-timeout", "Timeout for a companion to void a claim.", 500.milliseconds, ALLOWED_DURATIONS)

    override fun help(context: Context): String =
        "Accepts callers' requests and runs them on the upstreams of the pools."

    override fun run() {
        common.configureLog()
        runUntilEnd("entry", "callers") { startEntry(settings()) }
    }

    private fun settings(): EntryProcessSettings = EntryProcessSettings(
        decisions =
        EntrySettings(
            process = common.process,
            host = common.host,
            place = common.place,
            incarnation = randomIncarnation(),
            bootstrap = bootstrap.orEmpty(),
            policy = policy,
            heartbeatInterval = heartbeatInterval,
            peerSilenceLimit = peerSilenceLimit,
            reconnectInterval = reconnectInterval,
            storeTimeout = storeTimeout,
            storeRefreshInterval = storeRefreshInterval,
            voidTimeout = voidTimeout,
            retryBudgetRatio = retryBudget,
            hedgeBudgetRatio = hedgeBudget,
            ejectedShareLimit = ejectedShare,
            hedging = hedging,
            reserveFirst = reserveFirst,
            earlyRefusal = earlyRefusal,
        ),
        process = common.processSettings(),
        callerAddress = listen,
    )

    private companion object {
        const val DEFAULT_RETRY_BUDGET = 0.1
        const val DEFAULT_HEDGE_BUDGET = 0.05
        const val DEFAULT_EJECTED_SHARE = 0.34
        val ALLOWED_DURATIONS = 10.milliseconds..10.minutes
        val POLICIES_BY_NAME = ChoicePolicy.entries.associateBy { it.name.lowercase().replace('_', '-') }
    }
}
