package org.lovageladder.standin

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.PrintMessage
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import java.net.BindException
import java.util.concurrent.CountDownLatch

/** The command line; each subcommand runs one stand-in. */
internal class StandInCommand : NoOpCliktCommand(name = "stand-in") {
    init {
        context { autoEnvvarPrefix = "LOVAGELADDER_STAND_IN" }
    }

    override fun help(context: Context): String =
        "Small stand-ins for engines, plain services and the platform, on loopback. " +
            "Prints 'ready SUBCOMMAND 127.0.0.1:PORT' when it accepts connections; ends on SIGTERM. " +
            "Flag --FLAG-NAME may also be set as LOVAGELADDER_STAND_IN_SUBCOMMAND_FLAG_NAME."
}

/** Subcommand that starts one stand-in, prints its address and waits for SIGTERM. */
internal abstract class ServerCommand(name: String, private val summary: String) : CliktCommand(name = name) {
    private val port by option("--port", help = "Port on loopback; 0 picks a free one.")
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
    } catch (portInUse: BindException) {
        val reason = "cannot listen on --port $port (${portInUse.message}), allowed is a free port or 0"
        throw PrintMessage(reason, statusCode = 1, printError = true)
    }

    protected companion object {
        const val MAXIMUM_PORT: Int = 65_535

        /** Exit status of a process that SIGKILL ended: 128 + 9. */
        const val CRASH_STATUS: Int = 137

        fun haltProcess() {
            Runtime.getRuntime().halt(CRASH_STATUS)
        }
    }
}

/** A started stand-in and the port it listens on. */
internal data class RunningStandIn(val server: AutoCloseable, val port: Int)
