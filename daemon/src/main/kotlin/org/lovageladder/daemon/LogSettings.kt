package org.lovageladder.daemon

import org.tinylog.configuration.Configuration
import org.tinylog.kotlin.Logger
import org.tinylog.provider.ProviderRegistry
import java.util.concurrent.atomic.AtomicBoolean

/** Lowest severity that is logged. */
internal enum class LogLevel {
    DEBUG,
    INFO,
    WARNING,
    ERROR,
    ;

    val word: String = name.lowercase()

    /** The level's name in tinylog. */
    val tinylogName: String get() = if (this == WARNING) "warn" else word
}

/** Format of log lines. */
internal enum class LogFormat {
    TEXT,
    JSON,
    ;

    val word: String = name.lowercase()
}

/** Standard stream that the log is written to. */
internal enum class LogStream(
    /** The stream's name in tinylog. */
    val tinylogName: String,
) {
    OUTPUT("out"),
    ERROR("err"),
}

/**
 * Configures the log. Must be called before the first line is logged, also by a library; a call that comes too late
 * is logged and has no effect.
 */
internal fun configureLog(level: LogLevel, format: LogFormat, stream: LogStream = LogStream.ERROR) {
    if (Configuration.isFrozen()) {
        if (isConfigured.compareAndSet(false, true)) {
            Logger.warn {
                "log level and format came after the first log line"
            }
        }
        return
    }
    isConfigured.set(true)
    Configuration.set("level", level.tinylogName)
    Configuration.set("level@io.netty", "warn")
    Configuration.set("level@io.ktor", "warn")
    Configuration.set("autoshutdown", "false")
    Configuration.set("writer.stream", stream.tinylogName)
    when (format) {
        LogFormat.TEXT -> {
            Configuration.set("writer", TEXT_WRITER)
            Configuration.set("writer.format", "{date:yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level} {message}")
        }
        LogFormat.JSON -> Configuration.set("writer", JSON_WRITER)
    }
}

/** Flushes queued log lines and shuts the log down; nothing may be logged afterwards. */
internal fun closeLog() {
    ProviderRegistry.getLoggingProvider().shutdown()
}

private val isConfigured = AtomicBoolean()
private const val JSON_WRITER = "json line"
private const val TEXT_WRITER = "text line"
