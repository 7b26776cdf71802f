package org.lovageladder.standin

import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import kotlin.time.Duration.Companion.milliseconds

/** The `host-list` subcommand, which runs a [HostListStandIn]. */
internal class HostListCommand : ServerCommand("host-list", "The list of live and leaving hosts, shown with a lag.") {
    private val defaults = HostListSettings()
    private val lag by
        millisecondsOption("--lag-ms", "Delay before a change is listed.", defaults.lag.inWholeMilliseconds)
    private val hosts by option("--host", metavar = "NAME,PLACE,IP:PORT", help = "A live host, listed from the start.")
        .convert { value -> parseHost(value) ?: fail("'$value' given, allowed is NAME,PLACE,IP:PORT") }
        .multiple()

    override fun start(port: Int): RunningStandIn {
        val list = HostListStandIn.start(port, HostListSettings(lag.milliseconds, hosts))
        return RunningStandIn(list, list.port)
    }

    private fun parseHost(value: String): ListedHost? {
        val fields = value.split(",")
        if (fields.size != HOST_FIELD_COUNT) {
            return null
        }
        val (name, place, address) = fields
        return ListedHost(name = name, place = place, address = address)
    }

    private companion object {
        const val HOST_FIELD_COUNT = 3
    }
}
