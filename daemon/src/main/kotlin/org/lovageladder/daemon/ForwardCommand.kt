package org.lovageladder.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.Option
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.boolean
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.sources.PropertiesValueSource
import org.lovageladder.core.forward.ForwarderSettings
import org.lovageladder.core.forward.Mechanism
import org.lovageladder.core.forward.RetryLimits
import org.lovageladder.core.forward.UnreadAnswers
import org.lovageladder.http.forward.RequestBufferPool
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Runs an entry that forwards requests straight to upstreams. Its settings come from flags, environment variables and
 * the file that [SETTINGS_VARIABLE] names, whose lines are `flag=value` without the dashes. Flags take precedence over
 * variables, and variables over the file.
 */
internal class ForwardCommand(private val onSettings: (ForwardProcessSettings) -> Unit = ::runForward) :
    CliktCommand("forward") {
    private val common by CommonFlags()
    private val listen by addressFlag("--listen", "Where callers connect.").required()
    private val peerListen by
        announcedAddressFlag("--peer-listen", "Where other entries send messages; none are exchanged without it.")
    private val retryRatio by ratioFlag(
        "--retry-ratio",
        "Retries of all entries per request, as a ratio.",
        DEFAULT_RETRY_RATIO,
    )
    private val retryAllowance by
        numberFlag(
            "--retry-allowance",
            "Retries of all entries beyond the ratio, per window.",
            0.0,
            0.0..MAXIMUM_RETRY_ALLOWANCE,
        )
    private val retryWindow by durationFlag("--retry-window", "Window of the retry budget.", 10.seconds, DURATION_RANGE)
    private val orderLease by
        durationFlag("--order-lease", "Lease of the process that gives orders to engines.", 3.seconds, DURATION_RANGE)
    private val prefillShare by
        ratioFlag(
            "--prefill-share",
            "Share of prefill in the engines' work, until it is measured.",
            DEFAULT_PREFILL_SHARE,
        )
    private val stopGrace by
        durationFlag(
            "--stop-grace",
            "Time from a stop signal until the platform ends the process.",
            10.minutes,
            STOP_GRACE_RANGE,
        )
    private val drainBound by
        durationFlag(
            "--drain-bound",
            "Time after which a leaving upstream gets no new requests.",
            2.seconds,
            DURATION_RANGE,
        )
    private val registrationInterval by
        durationFlag(
            "--registration-interval",
            "Interval at which upstreams renew their registrations.",
            1_200.milliseconds,
            REGISTRATION_INTERVAL_RANGE,
        )
    private val answerBytes by
        countFlag(
            "--answer-bytes",
            "Largest answer of a plain service, in bytes.",
            DEFAULT_ANSWER_BYTES,
            ANSWER_BYTES_RANGE,
        )
    private val requestBytes by
        countFlag(
            "--request-bytes",
            "Memory for callers' requests, from their arrival to their end, in bytes.",
            minOf(RequestBufferPool.DEFAULT_BYTES, RequestBufferPool.mostBytes),
            RequestBufferPool.LEAST_BYTES..RequestBufferPool.mostBytes,
        )
    private val answerBufferBytes by
        countFlag(
            "--answer-buffer-bytes",
            "Memory for answers that callers have not read yet, in bytes; at least --answer-bytes.",
            minOf(
                UnreadAnswers.DEFAULT_BYTES,
                RequestBufferPool.mostBytes / 2,
            ).coerceAtLeast(LEAST_ANSWER_BUFFER_BYTES),
            LEAST_ANSWER_BUFFER_BYTES..RequestBufferPool.mostBytes,
        )
    private val upstreamBodyBytes by
        countFlag(
            "--upstream-body-bytes",
            "Bytes of the bodies of requests that this entry has in flight to one upstream.",
            DEFAULT_UPSTREAM_BODY_BYTES,
            UPSTREAM_BODY_BYTES_RANGE,
        )
    private val entryCount by countFlag(
        "--entry-count",
        "Number of entries that share limits, until it is known from the registry.",
        DEFAULT_ENTRY_COUNT,
        1..MAXIMUM_ENTRY_COUNT,
    )
    private val coordinateMemoryFrom by
        countFlag(
            "--coordinate-memory-from",
            "Entries from which one of them coordinates decode memory; 0: only where customers are configured.",
            0,
            0..MAXIMUM_ENTRY_COUNT,
        )

    private val learnCapacity by
        option(
            "--learn-capacity",
            envvar = environmentVariable("--learn-capacity"),
            help = "Learn how fast each upstream is and choose by that: true or false (false).",
        ).boolean().default(false)

    private val disabledMechanisms by
        option(
            "--without",
            envvar = environmentVariable("--without"),
            help = "Mechanisms that an experiment runs without.",
            hidden = true,
        ).enum<Mechanism> { it.label }.split(",").default(emptyList())

    init {
        context {
            System.getenv(SETTINGS_VARIABLE)?.let { file ->
                valueSource = PropertiesValueSource.from(file, requireValid = true) { _, option -> settingKey(option) }
            }
        }
    }

    override fun help(context: Context): String = "Forwards callers' requests straight to registered upstreams."

    override fun run() {
        common.configureLog(LogStream.OUTPUT)
        onSettings(settings())
    }

    private fun settings(): ForwardProcessSettings = ForwardProcessSettings(
        name = common.process,
        listenAddress = listen,
        peerListenAddress = peerListen,
        process = common.processSettings(),
        stopGrace = stopGrace,
        orderLease = orderLease,
        requestBytes = requestBytes,
        answerBufferBytes = maxOf(answerBufferBytes, answerBytes),
        forwarderSettings =
        ForwarderSettings(
            name = common.process,
            place = common.place,
            retryLimits = RetryLimits(retryRatio, retryAllowance, retryWindow),
            expectedEntryCount = entryCount,
            prefillShare = prefillShare,
            drainBound = drainBound,
            registrationInterval = registrationInterval,
            answerBytes = answerBytes,
            upstreamBodyBytes = upstreamBodyBytes,
            without = disabledMechanisms.toSet(),
            learnCapacity = learnCapacity,
            coordinateMemoryFrom = coordinateMemoryFrom,
        ),
    )

    private companion object {
        const val DEFAULT_RETRY_RATIO = 0.1
        const val DEFAULT_PREFILL_SHARE = 0.2
        const val DEFAULT_ANSWER_BYTES = 1024 * 1024
        val ANSWER_BYTES_RANGE = 1024..64 * 1024 * 1024
        const val LEAST_ANSWER_BUFFER_BYTES = 1024 * 1024
        const val DEFAULT_UPSTREAM_BODY_BYTES = 8 * 1024 * 1024
        val UPSTREAM_BODY_BYTES_RANGE = 64 * 1024..1024 * 1024 * 1024
        const val MAXIMUM_RETRY_ALLOWANCE = 100_000.0
        const val DEFAULT_ENTRY_COUNT = 8
        const val MAXIMUM_ENTRY_COUNT = 10_000
        val STOP_GRACE_RANGE = 1.seconds..60.minutes
        val REGISTRATION_INTERVAL_RANGE = 100.milliseconds..10.minutes
        val DURATION_RANGE = 1.seconds..10.minutes

        fun settingKey(option: Option): String = option.names.first { it.startsWith("--") }.removePrefix("--")
    }
}

/** Environment variable that names the settings file. */
internal const val SETTINGS_VARIABLE: String = "LOVAGELADDER_SETTINGS"

/** Runs a forwarding entry until it ends; reloads its settings at SIGHUP and when its settings file changes. */
private fun runForward(settings: ForwardProcessSettings) {
    runUntilEnd("forward", "callers") {
        val process = startForward(settings)
        SettingsReload(process::applySettings, process::recordRejectedSettings).start()
        process
    }
}
