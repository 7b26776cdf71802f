package org.lovageladder.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.required
import org.lovageladder.core.CompanionSettings
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Runs a companion. */
internal class CompanionCommand : CliktCommand("companion") {
    private val common by CommonFlags()
    private val peerListen by addressFlag("--peer-listen", "Where entries connect.").required()
    private val peerSilenceLimit by
        durationFlag("--peer-silence-limit", "Silence after which an entry is gone.", 3.seconds, PERIODS)
    private val storeTimeout by
        durationFlag("--store-timeout", "For an answer of the key-value service.", 500.milliseconds, PERIODS)
    private val storeRefreshInterval by
        durationFlag("--store-refresh-interval", "Between reads of the release.", 30.seconds, PERIODS)
    private val cancelRetryInterval by
        durationFlag("--cancel-retry-interval", "Before a cancel is repeated.", 100.milliseconds, PERIODS)
    private val claimMemory by
        durationFlag("--claim-memory", "How long ended claims are remembered.", 60.minutes, 1.minutes..24.hours)

    private val queueLimit by
        countFlag("--queue-limit", "Calls and reservations that wait for an upstream.", QUEUE_LIMIT, 1..MOST_QUEUED)

    override fun help(context: Context): String = "Guards the upstreams of its host and runs calls on them."

    override fun run() {
        common.configureLog()
        runUntilEnd("companion", "peer") { startCompanion(settings()) }
    }

    private fun settings(): CompanionProcessSettings = CompanionProcessSettings(
        decisions =
        CompanionSettings(
            process = common.process,
            host = common.host,
            place = common.place,
            incarnation = drawIncarnation(),
            peerSilenceLimit = peerSilenceLimit,
            storeTimeout = storeTimeout,
            storeRefreshInterval = storeRefreshInterval,
            cancelRetryInterval = cancelRetryInterval,
            claimMemory = claimMemory,
            queueLimit = queueLimit,
        ),
        process = common.processSettings(),
        peer = peerListen,
    )

    private companion object {
        const val QUEUE_LIMIT = 256
        const val MOST_QUEUED = 100_000
        val PERIODS = 10.milliseconds..10.minutes
    }
}
