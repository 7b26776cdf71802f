package org.lovageladder.daemon

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.transformAll
import org.lovageladder.core.HostName
import org.lovageladder.core.Incarnation
import org.lovageladder.core.PlaceName
import org.lovageladder.core.ProcessName
import java.security.SecureRandom
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Flags that all roles have. */
internal class CommonFlags : OptionGroup("Flags of all roles") {
    private val name by nameFlag("--name", "Name of this process, unique among running processes.").required()
    private val hostName by nameFlag("--host", "Name of the host in the release.").required()
    private val placeName by nameFlag("--place", "Name of the data centre of the host.").required()
    private val admin by addressFlag("--admin", "Address that serves health, metrics, status and events.").required()
    private val store by addressesFlag("--store", "Address of the key-value service; may be repeated.")
        .transformAll { values -> values.flatten().ifEmpty { fail("missing, at least one IP:PORT is required") } }
    private val hostList by addressFlag("--host-list", "Address of the platform's host list.")
    private val hostListInterval by
        durationFlag(
            "--host-list-interval",
            "Interval between reads of the host list.",
            1.seconds,
            100.milliseconds..1.minutes,
        )
    private val drainTimeout by
        durationFlag(
            "--drain-timeout",
            "Longest time to finish requests in flight after a stop.",
            10.minutes,
            0.seconds..24.hours,
        )
    private val logLevel by
        choiceFlag("--log-level", "Lowest level to log.", LogLevel.entries.associateBy { it.word }, LogLevel.INFO)
    private val logFormat by
        choiceFlag("--log-format", "Format of log lines.", LogFormat.entries.associateBy { it.word }, LogFormat.TEXT)

    val process: ProcessName get() = ProcessName(name)
    val host: HostName get() = HostName(hostName)
    val place: PlaceName get() = PlaceName(placeName)

    /** Configures the log to write to [stream], with the level and format of the flags. */
    fun configureLog(stream: LogStream = LogStream.ERROR) {
        configureLog(logLevel, logFormat, stream)
    }

    fun processSettings(): ProcessSettings = ProcessSettings(
        admin = admin,
        store = store,
        hostList = hostList,
        hostListInterval = hostListInterval,
        drainTimeout = drainTimeout,
    )
}

/** Returns a random incarnation number of at most 2^52, which is exact also in JSON readers that use doubles. */
internal fun randomIncarnation(): Incarnation =
    Incarnation(1 + (SecureRandom().nextLong() ushr INCARNATION_UNUSED_BITS))

private const val INCARNATION_UNUSED_BITS = 12
