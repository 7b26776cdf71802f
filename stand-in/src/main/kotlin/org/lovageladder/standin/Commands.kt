package org.lovageladder.standin

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.PrintMessage
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds

/** The stand-ins' command line; each subcommand is one stand-in. */
internal class StandInCommand : NoOpCliktCommand(name = "stand-in") {
    override fun help(context: Context): String =
        "Small stand-ins for engines, plain services and the platform, on loopback. " +
            "Prints 'ready SUBCOMMAND 127.0.0.1:PORT' when it serves and ends on SIGTERM."
}

/** One stand-in as a process: starts it, reports its address and waits for the stop signal. */
internal abstract class ServerCommand(name: String, private val summary: String) : CliktCommand(name = name) {
    private val port by option("--port", help = "Port on loopback; 0 takes a free one.")
        .int()
        .restrictTo(0..MAXIMUM_PORT)
        .default(0)

    override fun help(context: Context): String = summary

    protected abstract fun start(port: Int): RunningStandIn

    override fun run() {
        val standIn = startOrFail()
        Runtime.getRuntime().addShutdownHook(
            Thread {
                standIn.server.close()
                Runtime.getRuntime().halt(0)
            },
        )
        echo("ready $commandName 127.0.0.1:${standIn.port}")
        System.out.flush()
        CountDownLatch(1).await()
    }

    private fun startOrFail(): RunningStandIn = try {
        start(port)
    } catch (taken: java.net.BindException) {
        val reason = "--port $port cannot be listened on (${taken.message}), allowed is a free port or 0"
        throw PrintMessage(reason, statusCode = 1, printError = true)
    }

    protected companion object {
        const val MAXIMUM_PORT: Int = 65_535
        const val CRASH_STATUS: Int = 137

        fun haltProcess() {
            Runtime.getRuntime().halt(CRASH_STATUS)
        }
    }
}

/** A started stand-in and the port it listens on. */
internal data class RunningStandIn(val server: AutoCloseable, val port: Int)

internal class EngineCommand : ServerCommand("engine", "A language-model engine for prefill, decode or both.") {
    private val defaults = EngineSettings()
    private val role by option("--role", help = "Which calls it takes.")
        .choice(EngineRole.entries.associateBy { it.word })
        .default(defaults.role, defaultForHelp = defaults.role.word)
    private val engineName by option("--name", help = "Name in answers and metrics.").default(defaults.name)
    private val model by option("--model", help = "The only model name answered to; without it any name.")
    private val pieces by positiveInt("--pieces", "Memory in pieces.", defaults.pieces)
    private val pieceTokens by positiveInt("--piece-tokens", "Tokens in a piece.", defaults.pieceTokens)
    private val maximumRunning by positiveInt("--max-running", "Decode calls at once.", defaults.maximumRunning)
    private val prefillRate by
        positiveLong("--prefill-tokens-per-second", "Prefill rate.", defaults.prefillTokensPerSecond)
    private val baseTokenGap by
        milliseconds("--base-token-gap-ms", "Token gap of a batch of one.", defaults.baseTokenGap.inWholeMilliseconds)
    private val gapPerRunning by
        milliseconds("--gap-per-running-ms", "Added per further call.", defaults.tokenGapPerRunning.inWholeMilliseconds)
    private val keepTime by
        milliseconds("--keep-ms", "How long a prefill result is kept.", defaults.keepTime.inWholeMilliseconds)
    private val linkRate by
        positiveLong("--link-bytes-per-second", "Rate of the link to decode engines.", defaults.linkBytesPerSecond)
    private val tokenBytes by
        positiveLong("--kv-bytes-per-token", "Size of a prefill result per token.", defaults.keyValueBytesPerToken)
    private val reportLag by
        milliseconds("--report-lag-ms", "Age of the load in the metrics.", defaults.reportLag.inWholeMilliseconds)
    private val freeOnDisconnect by option(
        "--free-on-disconnect",
        help = "A closed connection cancels its call.",
    ).flag()
    private val ignoreFencing by option("--ignore-fencing", help = "Take orders with outdated numbers.").flag()

    override fun start(port: Int): RunningStandIn {
        val settings =
            EngineSettings(
                role = role,
                name = engineName,
                model = model,
                pieces = pieces,
                pieceTokens = pieceTokens,
                maximumRunning = maximumRunning,
                prefillTokensPerSecond = prefillRate,
                baseTokenGap = baseTokenGap.milliseconds,
                tokenGapPerRunning = gapPerRunning.milliseconds,
                keepTime = keepTime.milliseconds,
                linkBytesPerSecond = linkRate,
                keyValueBytesPerToken = tokenBytes,
                reportLag = reportLag.milliseconds,
                freeOnDisconnect = freeOnDisconnect,
                ignoreFencing = ignoreFencing,
            )
        val engine = EngineStandIn.start(port, settings) { haltProcess() }
        return RunningStandIn(engine, engine.port)
    }
}

internal class PlainCommand : ServerCommand("plain", "A plain service that counts executions per Idempotency-Key.") {
    private val defaults = PlainSettings()
    private val serviceName by option("--name", help = "Name in answers.").default(defaults.name)
    private val latency by milliseconds("--latency-ms", "Time of a call.", defaults.latency.inWholeMilliseconds)
    private val maximumRunning by positiveInt("--max-running", "Calls at once.", defaults.maximumRunning)
    private val ignoreFencing by option("--ignore-fencing", help = "Execute calls with outdated numbers.").flag()

    override fun start(port: Int): RunningStandIn {
        val settings = PlainSettings(serviceName, latency.milliseconds, maximumRunning, ignoreFencing)
        val plain = PlainStandIn.start(port, settings) { haltProcess() }
        return RunningStandIn(plain, plain.port)
    }
}

internal class KeyValueCommand : ServerCommand("kv", "The key-value service, in etcd v3's JSON mapping.") {
    override fun start(port: Int): RunningStandIn {
        val keyValue = KeyValueStandIn.start(port)
        return RunningStandIn(keyValue, keyValue.port)
    }
}

internal class HostListCommand : ServerCommand("host-list", "The lagging list of live and leaving hosts.") {
    private val defaults = HostListSettings()
    private val lag by milliseconds("--lag-ms", "How late changes are listed.", defaults.lag.inWholeMilliseconds)
    private val hosts by option("--host", metavar = "NAME,PLACE,IP:PORT", help = "A live host listed from the start.")
        .convert { value -> hostOf(value) ?: fail("'$value' given, allowed is NAME,PLACE,IP:PORT") }
        .multiple()

    override fun start(port: Int): RunningStandIn {
        val list = HostListStandIn.start(port, HostListSettings(lag.milliseconds, hosts))
        return RunningStandIn(list, list.port)
    }

    private fun hostOf(value: String): ListedHost? {
        val parts = value.split(",")
        if (parts.size != HOST_PARTS) {
            return null
        }
        val (name, place, address) = parts
        return ListedHost(name = name, place = place, address = address)
    }

    private companion object {
        const val HOST_PARTS = 3
    }
}

internal class WeightsCommand : ServerCommand("weights", "The rate-limited weight store.") {
    private val rate by positiveLong(
        "--bytes-per-second",
        "Rate shared by all callers.",
        WeightStoreSettings().bytesPerSecond,
    )

    override fun start(port: Int): RunningStandIn {
        val weights = WeightStoreStandIn.start(port, WeightStoreSettings(rate))
        return RunningStandIn(weights, weights.port)
    }
}

private fun CliktCommand.positiveInt(name: String, help: String, default: Int) =
    option(name, help = help).int().restrictTo(min = 1).default(default)

private fun CliktCommand.positiveLong(name: String, help: String, default: Long) =
    option(name, help = help).long().restrictTo(min = 1).default(default)

private fun CliktCommand.milliseconds(name: String, help: String, default: Long) =
    option(name, help = help).long().restrictTo(min = 0).default(default)
