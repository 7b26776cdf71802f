package org.lovageladder.daemon

import com.github.ajalt.clikt.core.ParameterHolder
import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.OptionWithValues
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import org.lovageladder.core.Address
import org.lovageladder.core.BootstrapPeer
import org.lovageladder.core.HostName
import java.net.InetAddress
import java.net.UnknownHostException
import kotlin.time.Duration

/*
 * Flag types. Each flag can also be set by an environment variable, such as `--peer-listen` by
 * `LOVAGELADDER_PEER_LISTEN`.
 */

/** Name of the environment variable for [flag]. */
internal fun environmentVariable(flag: String): String =
    "LOVAGELADDER_" + flag.removePrefix("--").replace('-', '_').uppercase()

/** A flag that takes the name of a process, host or data centre. */
internal fun ParameterHolder.nameFlag(flag: String, help: String): NullableOption<String, String> =
    option(flag, help = help, envvar = environmentVariable(flag), metavar = "NAME").convert { value ->
        if (!NAME_PATTERN.matches(value)) {
            fail("\"$value\", allowed are 1 to 63 letters, digits, dots, dashes and underscores, no dash first")
        }
        value
    }

/** A flag that takes an IP address and port. */
internal fun ParameterHolder.addressFlag(flag: String, help: String): NullableOption<Address, Address> =
    option(flag, help = help, envvar = environmentVariable(flag), metavar = "IP:PORT").convert { value ->
        parseAddress(value) ?: fail("\"$value\", $ADDRESS_FORMAT")
    }

/** A flag that takes the IPv4 address of this host and a port, which other hosts are told to send to. */
internal fun ParameterHolder.announcedAddressFlag(flag: String, help: String): NullableOption<Address, Address> =
    option(flag, help = help, envvar = environmentVariable(flag), metavar = "IP:PORT").convert { value ->
        parseAddress(value)?.takeIf { IPV4_PATTERN.matches(it.ip) && it.ip != UNSPECIFIED_IP }
            ?: fail("\"$value\", allowed is IP:PORT with the IPv4 address of this host, such as 127.0.0.1:8080")
    }

/** A flag that takes one or more addresses, separated by commas. */
internal fun ParameterHolder.addressesFlag(flag: String, help: String): NullableOption<List<Address>, List<Address>> =
    option(flag, help = help, envvar = environmentVariable(flag), metavar = "IP:PORT,...").convert { value ->
        value.split(',').map { element -> parseAddress(element.trim()) ?: fail("\"$element\", $ADDRESS_FORMAT") }
    }

/** A flag that takes one or more companions as HOST@IP:PORT, separated by commas. */
internal fun ParameterHolder.companionsFlag(
    flag: String,
    help: String,
): NullableOption<List<BootstrapPeer>, List<BootstrapPeer>> =
    option(flag, help = help, envvar = environmentVariable(flag), metavar = "HOST@IP:PORT,...").convert { value ->
        value.split(',').map { element -> parseCompanion(element.trim()) ?: fail("\"$element\", $COMPANION_FORMAT") }
    }

private fun parseCompanion(text: String): BootstrapPeer? {
    val host = text.substringBefore('@', "").takeIf(NAME_PATTERN::matches) ?: return null
    return parseAddress(text.substringAfter('@'))?.let { BootstrapPeer(HostName(host), it) }
}

/** A flag that takes a duration within [allowed]. */
internal fun ParameterHolder.durationFlag(
    flag: String,
    help: String,
    default: Duration,
    allowed: ClosedRange<Duration>,
): OptionWithValues<Duration, Duration, Duration> =
    option(flag, help = help, envvar = environmentVariable(flag), metavar = "DURATION")
        .convert { value ->
            Duration.parseOrNull(value)?.takeIf { it in allowed }
                ?: fail("\"$value\", allowed are ${allowed.start} to ${allowed.endInclusive}, such as 500ms or 10m")
        }.default(default, defaultForHelp = default.toString())

/** A flag that takes a ratio from 0 to 1. */
internal fun ParameterHolder.ratioFlag(
    flag: String,
    help: String,
    default: Double,
): OptionWithValues<Double, Double, Double> = numberFlag(flag, help, default, 0.0..1.0, metavar = "RATIO")

/** A flag that takes a number, also a fraction, within [allowed]. */
internal fun ParameterHolder.numberFlag(
    flag: String,
    help: String,
    default: Double,
    allowed: ClosedRange<Double>,
    metavar: String = "NUMBER",
): OptionWithValues<Double, Double, Double> =
    option(flag, help = help, envvar = environmentVariable(flag), metavar = metavar)
        .convert { value ->
            val range = "${allowed.start.toLong()} to ${allowed.endInclusive.toLong()}"
            value.toDoubleOrNull()?.takeIf { it in allowed } ?: fail("\"$value\", allowed are numbers from $range")
        }.default(default, defaultForHelp = default.toString())

/** A flag that takes a whole number within [allowed]. */
internal fun ParameterHolder.countFlag(
    flag: String,
    help: String,
    default: Int,
    allowed: IntRange,
): OptionWithValues<Int, Int, Int> = option(flag, help = help, envvar = environmentVariable(flag), metavar = "COUNT")
    .convert { value ->
        value.toIntOrNull()?.takeIf { it in allowed }
            ?: fail("\"$value\", allowed are ${allowed.first} to ${allowed.last}")
    }.default(default, defaultForHelp = default.toString())

/** A flag that takes one of [values] by its key. */
internal fun <Value : Any> ParameterHolder.choiceFlag(
    flag: String,
    help: String,
    values: Map<String, Value>,
    default: Value,
): OptionWithValues<Value, Value, Value> = option(flag, help = help, envvar = environmentVariable(flag))
    .choice(values)
    .default(default, defaultForHelp = values.entries.first { it.value == default }.key)

/** A flag that takes `on` or `off`. */
internal fun ParameterHolder.switchFlag(flag: String, help: String, default: Boolean) =
    choiceFlag(flag, help, mapOf("on" to true, "off" to false), default)

/** Parses `IP:PORT`, with an IPv6 address in brackets; null when [text] is not a valid address. */
internal fun parseAddress(text: String): Address? {
    val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 0..MAXIMUM_PORT } ?: return null
    val host = text.substringBeforeLast(':')
    val unbracketed = host.removeSurrounding("[", "]")
    val isValid = if (unbracketed == host) IPV4_PATTERN.matches(host) else isIpv6Address(unbracketed)
    return Address(unbracketed, port).takeIf { isValid }
}

private fun isIpv6Address(text: String): Boolean = try {
    text.contains(':') && InetAddress.getByName("[$text]").hostAddress.isNotEmpty()
} catch (_: UnknownHostException) {
    false
}

private val IPV4_PATTERN = Regex("""(?:(?:25[0-5]|2[0-4]\d|1?\d?\d)(?:\.(?!$)|$)){4}""")
private val NAME_PATTERN = Regex("[A-Za-z0-9_.][A-Za-z0-9_.-]{0,62}")
private const val UNSPECIFIED_IP = "0.0.0.0"
private const val MAXIMUM_PORT = 65_535
private const val COMPANION_FORMAT = "allowed is HOST@IP:PORT, such as host-1@127.0.0.1:8080"
private const val ADDRESS_FORMAT = "allowed is IP:PORT, such as 127.0.0.1:8080 or [::1]:8080"
