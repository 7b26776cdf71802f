package org.lovageladder.daemon

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.parse
import org.tinylog.kotlin.Logger
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Reloads the settings of a forwarding entry at SIGHUP and when its settings file changes. Valid settings
 * go to [onChanged], the reason why others are invalid to [onRejected]; both are called on a thread of this class.
 */
internal class SettingsReload(
    private val onChanged: (ForwardProcessSettings) -> Unit,
    private val onRejected: (String) -> Unit,
    private val file: String? = System.getenv(SETTINGS_VARIABLE),
) {
    private val executor = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "settings").apply { isDaemon = true }
    }
    private var lastText = readFile()

    /** Starts to watch for SIGHUP and changes of the file. */
    fun start() {
        Signal.handle(Signal("HUP")) { executor.execute(::reload) }
        if (file == null) return
        executor.scheduleWithFixedDelay(
            ::reloadIfChanged,
            CHECK_INTERVAL_SECONDS,
            CHECK_INTERVAL_SECONDS,
            TimeUnit.SECONDS,
        )
    }

    private fun reloadIfChanged() {
        if (readFile() != lastText) reload()
    }

    private fun reload() {
        lastText = readFile()
        try {
            ForwardCommand(onChanged).parse(emptyList())
        } catch (invalid: CliktError) {
            onRejected(invalid.message.orEmpty())
        }
    }

    private fun readFile(): String? = try {
        file?.let { Files.readString(Path.of(it)) }
    } catch (unreadable: IOException) {
        Logger.warn { "cannot read the settings file: $unreadable" }
        null
    }

    private companion object {
        const val CHECK_INTERVAL_SECONDS = 2L
    }
}
