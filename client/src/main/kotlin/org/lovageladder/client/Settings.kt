package org.lovageladder.client

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.OptionCallTransformContext
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import io.netty.util.NetUtil
import org.lovageladder.core.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/*
 * Options that several commands share. Each has an environment variable.
 */

private val SHORTEST_TIMEOUT = 1.milliseconds
private val LONGEST_TIMEOUT = 10.minutes
private const val MAXIMUM_PORT = 65_535
private val ADDRESS_PATTERN = Regex("""([0-9.]+|\[[0-9a-fA-F:.]+]):(\d{1,5})""")

/** Where the key-value service is, and how long to wait for it. */
internal class StoreOptions : OptionGroup("Key-value service") {
    val addresses: List<Address>? by option(
        "--store",
        envvar = "LOVAGELADDER_STORE",
        metavar = "IP:PORT,...",
        help = "Addresses of the key-value service (LOVAGELADDER_STORE).",
    ).convert { value -> value.split(',').map { address(it) } }

    val timeout: Duration by option(
        "--store-timeout",
        envvar = "LOVAGELADDER_STORE_TIMEOUT",
        metavar = "DURATION",
        help = "How long one call of the key-value service may take (default 2s).",
    ).convert { duration(it) }.default(2.seconds)
}

/** Which processes to ask, and how long to wait for them. */
internal class ProcessOptions : OptionGroup("Processes") {
    val addresses: List<Address> by option(
        "--process",
        envvar = "LOVAGELADDER_PROCESS",
        metavar = "IP:PORT",
        help = "Admin address of a process to ask; may be repeated. Without it all hosts in force are asked.",
    ).convert { address(it) }.multiple()

    val timeout: Duration by option(
        "--process-timeout",
        envvar = "LOVAGELADDER_PROCESS_TIMEOUT",
        metavar = "DURATION",
        help = "How long a process may take to answer (default 2s).",
    ).convert { duration(it) }.default(2.seconds)
}

/** How answers are printed. */
internal class OutputOptions : OptionGroup("Output") {
    val json: Boolean by option(
        "--json",
        envvar = "LOVAGELADDER_JSON",
        help = "Print the answer as JSON.",
    ).flag()
}

/** Reads an IP address and port; fails naming what is allowed. */
internal fun OptionCallTransformContext.address(value: String): Address =
    readAddress(value) ?: fail("'$value' given; allowed: IP:PORT with a port from 1 to $MAXIMUM_PORT")

/** Reads a duration such as `500ms`, `2s` or `1m 30s`; fails naming what is allowed. */
internal fun OptionCallTransformContext.duration(value: String): Duration {
    val duration = Duration.parseOrNull(value)
    if (duration != null && duration in SHORTEST_TIMEOUT..LONGEST_TIMEOUT) return duration
    fail("'$value' given; allowed: a duration from $SHORTEST_TIMEOUT to $LONGEST_TIMEOUT, such as 500ms or 2s")
}

/** Reads `IP:PORT`; null when [value] is anything else. */
internal fun readAddress(value: String): Address? {
    val match = ADDRESS_PATTERN.matchEntire(value.trim()) ?: return null
    val (ip, portText) = match.destructured
    val bareIp = ip.trim('[', ']')
    val port = portText.toInt()
    val validIp = NetUtil.isValidIpV4Address(bareIp) || NetUtil.isValidIpV6Address(bareIp)
    return if (validIp && port in 1..MAXIMUM_PORT) Address(bareIp, port) else null
}
