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
 * Reads the settings of a forwarding entry again at SIGHUP and when its settings file was changed. Settings that are
 * allowed go to [changed], the reason why others are not to [rejected]; both are called on a thread of their own.
 */
internal class SettingsReload(
    private val changed: (ForwardProcessSettings) -> Unit,
    private val rejected: (String) -> Unit,
    private val file: String? = System.getenv(SETTINGS_VARIABLE),
) {
    private val thread = Executors.newSingleThreadScheduledExecutor { Thread(it, "settings").apply { isDaemon = true } }
    private var text = read()

    /** Begins to watch. */
    fun start() {
        Signal.handle(Signal("HUP")) { thread.execute(::reload) }
        if (file == null) return
        thread.scheduleWithFixedDelay(::reloadIfChanged, CHECK_SECONDS, CHECK_SECONDS, TimeUnit.SECONDS)
    }

    private fun reloadIfChanged() {
        if (read() != text) reload()
    }

    private fun reload() {
        text = read()
        try {
            ForwardCommand(changed).parse(emptyList())
        } catch (invalid: CliktError) {
            rejected(invalid.message.orEmpty())
        }
    }

    private fun read(): String? = try {
        file?.let { Files.readString(Path.of(it)) }
    } catch (unreadable: IOException) {
        Logger.warn { "the settings file cannot be read: $unreadable" }
        null
    }

    private companion object {
        const val CHECK_SECONDS = 2L
    }
}
