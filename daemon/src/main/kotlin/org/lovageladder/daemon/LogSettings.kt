package org.lovageladder.daemon

import org.tinylog.configuration.Configuration
import org.tinylog.provider.ProviderRegistry

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

/** Configures the log. Must be called before the first line is logged; later calls have no effect. */
internal fun configureLog(level: LogLevel, format: LogFormat, stream: LogStream = LogStream.ERROR) {
    if (Configuration.isFrozen()) return
    Configuration.set("level", level.tinylogName)
    Configuration.set("level@io.netty", "warn")
    Configuration.set("level@io.ktor", "warn")
    Configuration.set("writingthread", "true")
    Configuration.set("autoshutdown", "false")
    Configuration.set("writer.stream", stream.tinylogName)
    when (format) {
        LogFormat.TEXT -> {
            Configuration.set("writer", "console")
            Configuration.set("writer.format", "{date:yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level} {message}")
        }
        LogFormat.JSON -> Configuration.set("writer", JSON_WRITER)
    }
}

/** Flushes queued log lines and shuts the log down; nothing may be logged afterwards. */
internal fun closeLog() {
    ProviderRegistry.getLoggingProvider().shutdown()
}

private const val JSON_WRITER = "json line"
