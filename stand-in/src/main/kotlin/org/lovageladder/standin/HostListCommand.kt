package org.lovageladder.standin

import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import kotlin.time.Duration.Companion.milliseconds

/** Flags of a [HostListStandIn]. */
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
