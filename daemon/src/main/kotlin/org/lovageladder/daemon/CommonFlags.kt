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

/** Flags of both roles. */
internal class CommonFlags : OptionGroup("Flags of both roles") {
    private val name by nameFlag("--name", "Name of this process, unique among those that run.").required()
    private val hostName by nameFlag("--host", "Name of the host in the release.").required()
    private val placeName by nameFlag("--place", "Name of the host's place.").required()
    private val admin by addressFlag("--admin", "Where health, metrics, status and events are served.").required()
    private val store by addressesFlag("--store", "The key-value service; may be repeated.")
        .transformAll { given -> given.flatten().ifEmpty { fail("missing, allowed is one IP:PORT or more") } }
    private val hostList by addressFlag("--host-list", "The platform's host list.")
    private val hostListInterval by
        durationFlag("--host-list-interval", "Pause between reads of it.", 1.seconds, 100.milliseconds..1.minutes)
    private val drainTimeout by
        durationFlag("--drain-timeout", "Longest time to finish what is in flight.", 10.minutes, 0.seconds..24.hours)
    private val logLevel by
        choiceFlag("--log-level", "Least level to log.", LogLevel.entries.associateBy { it.word }, LogLevel.INFO)
    private val logFormat by
        choiceFlag("--log-format", "Form of log lines.", LogFormat.entries.associateBy { it.word }, LogFormat.TEXT)

    val process: ProcessName get() = ProcessName(name)
    val host: HostName get() = HostName(hostName)
    val place: PlaceName get() = PlaceName(placeName)

    /** Sets up the log as asked for. */
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

/** Draws the number of a process's life. It is small enough to be exact in every JSON reader. */
internal fun drawIncarnation(): Incarnation = Incarnation(1 + (SecureRandom().nextLong() ushr INCARNATION_SHIFT))

private const val INCARNATION_SHIFT = 12
