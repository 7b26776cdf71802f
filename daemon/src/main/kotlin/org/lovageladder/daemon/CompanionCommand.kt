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

/** The subcommand that runs a companion. */
internal class CompanionCommand : CliktCommand("companion") {
    private val common by CommonFlags()
    private val peerListen by addressFlag("--peer-listen", "Address where entries connect.").required()
    private val peerSilenceLimit by
        durationFlag(
            "--peer-silence-limit",
            "Time without messages after which an entry is disconnected.",
            3.seconds,
            ALLOWED_DURATIONS,
        )
    private val storeTimeout by
        durationFlag(
            "--store-timeout",
            "Timeout of calls to the key-value service.",
            500.milliseconds,
            ALLOWED_DURATIONS,
        )
    private val storeRefreshInterval by
        durationFlag(
            "--store-refresh-interval",
            "Interval between reads of the release.",
            30.seconds,
            ALLOWED_DURATIONS,
        )
    private val cancelRetryInterval by
        durationFlag(
            "--cancel-retry-interval",
            "Interval between retries of a cancellation.",
            100.milliseconds,
            ALLOWED_DURATIONS,
        )
    private val claimMemory by
        durationFlag("--claim-memory", "How long ended claims are kept in memory.", 60.minutes, 1.minutes..24.hours)

    private val queueLimit by
        countFlag(
            "--queue-limit",
            "Maximum of calls and reservations waiting for an upstream.",
            DEFAULT_QUEUE_LIMIT,
            1..MAXIMUM_QUEUE_LIMIT,
        )

    override fun help(context: Context): String = "Reserves memory on the upstreams of its host and runs calls on them."

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
            incarnation = randomIncarnation(),
            peerSilenceLimit = peerSilenceLimit,
            storeTimeout = storeTimeout,
            storeRefreshInterval = storeRefreshInterval,
            cancelRetryInterval = cancelRetryInterval,
            claimMemory = claimMemory,
            queueLimit = queueLimit,
        ),
        process = common.processSettings(),
        peerAddress = peerListen,
    )

    private companion object {
        const val DEFAULT_QUEUE_LIMIT = 256
        const val MAXIMUM_QUEUE_LIMIT = 100_000
        val ALLOWED_DURATIONS = 10.milliseconds..10.minutes
    }
}
