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

/** Runs an entry. */
internal class EntryCommand : CliktCommand("entry") {
    private val common by CommonFlags()
    private val listen by addressFlag("--listen", "Where callers connect.").required()
    private val bootstrap by
        companionsFlag("--bootstrap", "Companions from which the release is learned in an outage.")
    private val policy by choiceFlag("--policy", "How upstreams are chosen.", POLICIES, ChoicePolicy.LEDGER)
    private val hedging by switchFlag("--hedging", "Second attempts beside slow ones.", true)
    private val reserveFirst by switchFlag("--reserve-first", "Reserve decode memory before a prefill.", true)
    private val earlyRefusal by switchFlag("--early-refusal", "Refuse what cannot meet its target.", true)
    private val retryBudget by ratioFlag("--retry-budget", "Retries for each first attempt.", RETRY_BUDGET)
    private val hedgeBudget by ratioFlag("--hedge-budget", "Hedges for each first attempt.", HEDGE_BUDGET)
    private val ejectedShare by ratioFlag("--ejected-share", "Part of a pool that may be ejected.", EJECTED_SHARE)
    private val heartbeatInterval by durationFlag("--heartbeat-interval", "Between heartbeats.", 1.seconds, PERIODS)
    private val peerSilenceLimit by
        durationFlag("--peer-silence-limit", "Silence after which a companion is gone.", 3.seconds, PERIODS)
    private val reconnectInterval by
        durationFlag("--reconnect-interval", "Pause before connecting again.", 500.milliseconds, PERIODS)
    private val storeTimeout by
        durationFlag("--store-timeout", "For an answer of the key-value service.", 500.milliseconds, PERIODS)
    private val storeRefreshInterval by
        durationFlag("--store-refresh-interval", "Between reads of the release.", 2.seconds, PERIODS)
    private val voidTimeout by
        durationFlag("--void-timeout", "For a companion to void a claim.", 500.milliseconds, PERIODS)

    override fun help(context: Context): String = "Serves callers and drives their requests through the pools."

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
            incarnation = drawIncarnation(),
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
        callers = listen,
    )

    private companion object {
        const val RETRY_BUDGET = 0.1
        const val HEDGE_BUDGET = 0.05
        const val EJECTED_SHARE = 0.34
        val PERIODS = 10.milliseconds..10.minutes
        val POLICIES = ChoicePolicy.entries.associateBy { it.name.lowercase().replace('_', '-') }
    }
}
