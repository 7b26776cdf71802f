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
 * Options shared by several commands. Each can also be set by an environment variable.
 */

private val MINIMUM_TIMEOUT = 1.milliseconds
private val MAXIMUM_TIMEOUT = 10.minutes
private const val MAXIMUM_PORT = 65_535
private val ADDRESS_PATTERN = Regex("""([0-9.]+|\[[0-9a-fA-F:.]+]):(\d{1,5})""")

/** Addresses of the key-value service, and the timeout of its calls. */
internal class StoreOptions : OptionGroup("Key-value service") {
    val addresses: List<Address>? by option(
        "--store",
        envvar = "LOVAGELADDER_STORE",
        metavar = "IP:PORT,...",
        help = "Addresses of the key-value service (LOVAGELADDER_STORE).",
    ).convert { value -> value.split(',').map { parseAddress(it) } }

    val timeout: Duration by option(
        "--store-timeout",
        envvar = "LOVAGELADDER_STORE_TIMEOUT",
        metavar = "DURATION",
        help = "Timeout of one call of the key-value service (default 2s).",
    ).convert { parseDuration(it) }.default(2.seconds)
}

/** Processes to query, and the timeout of their answers. */
internal class ProcessOptions : OptionGroup("Processes") {
    val addresses: List<Address> by option(
        "--process",
        envvar = "LOVAGELADDER_PROCESS",
        metavar = "IP:PORT",
        help = "Admin address of a process to query; may be repeated. Without it all hosts in force are queried.",
    ).convert { parseAddress(it) }.multiple()

    val timeout: Duration by option(
        "--process-timeout",
        envvar = "LOVAGELADDER_PROCESS_TIMEOUT",
        metavar = "DURATION",
        help = "Timeout of a process's answer (default 2s).",
    ).convert { parseDuration(it) }.default(2.seconds)
}

/** Output format. */
internal class OutputOptions : OptionGroup("Output") {
    val json: Boolean by option(
        "--json",
        envvar = "LOVAGELADDER_JSON",
        help = "Print the result as JSON.",
    ).flag()
}

/** Parses `IP:PORT`; the failure message says what is allowed. */
internal fun OptionCallTransformContext.parseAddress(value: String): Address =
    parseAddressOrNull(value) ?: fail("'$value' given; allowed: IP:PORT with a port from 1 to $MAXIMUM_PORT")

/** Parses a duration such as `500ms`, `2s` or `1m 30s`; the failure message says what is allowed. */
internal fun OptionCallTransformContext.parseDuration(value: String): Duration {
    val duration = Duration.parseOrNull(value)
    if (duration != null && duration in MINIMUM_TIMEOUT..MAXIMUM_TIMEOUT) return duration
    fail("'$value' given; allowed: a duration from $MINIMUM_TIMEOUT to $MAXIMUM_TIMEOUT, such as 500ms or 2s")
}

/** Parses `IP:PORT`; null when [value] is anything else. */
internal fun parseAddressOrNull(value: String): Address? {
    val match = ADDRESS_PATTERN.matchEntire(value.trim()) ?: return null
    val (ip, portText) = match.destructured
    val unbracketedIp = ip.trim('[', ']')
    val port = portText.toInt()
    val validIp = NetUtil.isValidIpV4Address(unbracketedIp) || NetUtil.isValidIpV6Address(unbracketedIp)
    return if (validIp && port in 1..MAXIMUM_PORT) Address(unbracketedIp, port) else null
}
