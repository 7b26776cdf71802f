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
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.sources.PropertiesValueSource
import org.lovageladder.core.forward.ForwarderSettings
import org.lovageladder.core.forward.Mechanism
import org.lovageladder.core.forward.RetryLimits
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Runs an entry that forwards requests straight to upstreams. Its settings come from flags, environment variables and
 * the file that [SETTINGS_VARIABLE] names, whose lines are `flag=value` without the dashes; flags go first.
 */
internal class ForwardCommand(private val act: (ForwardProcessSettings) -> Unit = ::runForward) :
    CliktCommand("forward") {
    private val common by CommonFlags()
    private val listen by addressFlag("--listen", "Where callers connect.").required()
    private val retryRatio by ratioFlag("--retry-ratio", "Repeats of all entries for each request.", RETRY_RATIO)
    private val retryAllowance by
        countFlag("--retry-allowance", "Repeats of all entries beyond that, in a window.", 0, 0..MOST_REPEATS)
    private val retryWindow by durationFlag("--retry-window", "Window of the retry budget.", 10.seconds, WINDOWS)
    private val orderLease by
        durationFlag("--order-lease", "Lease on the right to give orders to engines.", 3.seconds, WINDOWS)
    private val prefillShare by
        ratioFlag(
            "--prefill-share",
            "Part of the engines' work that is prefill, until requests tell more.",
            PREFILL_SHARE,
        )
    private val stopGrace by
        durationFlag("--stop-grace", "Time from a stop signal until the platform ends the process.", 10.minutes, GRACES)
    private val drainBound by
        durationFlag("--drain-bound", "Time after which a leaving upstream gets nothing new.", 2.seconds, WINDOWS)
    private val answerBytes by
        countFlag("--answer-bytes", "Largest answer of a plain service.", ANSWER_BYTES, ANSWER_SIZES)
    private val entryCount by countFlag(
        "--entry-count",
        "Entries among which limits are shared until they are known.",
        ENTRIES,
        1..MOST_ENTRIES,
    )

    private val without by
        option(
            "--without",
            envvar = environmentVariable("--without"),
            help = "Mechanisms that an experiment does without.",
            hidden = true,
        ).enum<Mechanism> { it.label }.split(",").default(emptyList())

    init {
        context {
            System.getenv(SETTINGS_VARIABLE)?.let { file ->
                valueSource = PropertiesValueSource.from(file, requireValid = true) { _, option -> settingName(option) }
            }
        }
    }

    override fun help(context: Context): String = "Forwards callers' requests straight to registered upstreams."

    override fun run() {
        common.configureLog(LogStream.OUTPUT)
        act(settings())
    }

    private fun settings(): ForwardProcessSettings = ForwardProcessSettings(
        name = common.process,
        callers = listen,
        process = common.processSettings(),
        stopGrace = stopGrace,
        orderLease = orderLease,
        decisions =
        ForwarderSettings(
            place = common.place,
            retries = RetryLimits(retryRatio, retryAllowance.toDouble(), retryWindow),
            expectedEntries = entryCount,
            prefillShare = prefillShare,
            drainBound = drainBound,
            answerBytes = answerBytes,
            without = without.toSet(),
        ),
    )

    private companion object {
        const val RETRY_RATIO = 0.1
        const val PREFILL_SHARE = 0.2
        const val ANSWER_BYTES = 1024 * 1024
        val ANSWER_SIZES = 1024..64 * 1024 * 1024
        const val MOST_REPEATS = 100_000
        const val ENTRIES = 8
        const val MOST_ENTRIES = 10_000
        val GRACES = 1.seconds..60.minutes
        val WINDOWS = 1.seconds..10.minutes

        fun settingName(option: Option): String = option.names.first { it.startsWith("--") }.removePrefix("--")
    }
}

/** Environment variable that names the settings file. */
internal const val SETTINGS_VARIABLE: String = "LOVAGELADDER_SETTINGS"

/** Runs a forwarding entry until it ends; its settings file is read again when it changes and at SIGHUP. */
private fun runForward(settings: ForwardProcessSettings) {
    runUntilEnd("forward", "callers") {
        val process = startForward(settings)
        SettingsReload(process::settingsChanged, process::settingsRejected).start()
        process
    }
}
