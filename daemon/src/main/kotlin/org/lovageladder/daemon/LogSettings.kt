package org.lovageladder.daemon

import org.tinylog.configuration.Configuration
import org.tinylog.provider.ProviderRegistry

/** Least severe level that is written to the log. */
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

/** Form of the lines of the log. */
internal enum class LogFormat {
    TEXT,
    JSON,
    ;

    val word: String = name.lowercase()
}

/** Where the log goes. */
internal enum class LogStream(
    /** The stream's name in tinylog. */
    val tinylogName: String,
) {
    OUTPUT("out"),
    ERROR("err"),
}

/** Sends the log to [stream]. Has to be called before the first line is logged; later calls do nothing. */
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

/** Writes out what is still queued; nothing may be logged after it. */
internal fun closeLog() {
    ProviderRegistry.getLoggingProvider().shutdown()
}

private const val JSON_WRITER = "json line"
