package org.lovageladder.measure

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.OptionCallTransformContext
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.lovageladder.core.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MAXIMUM_RATE_PER_SECOND = 100_000.0
private const val MAXIMUM_SECONDS = 3600
private const val MAXIMUM_STREAMS = 20_000
private const val MAXIMUM_TOKENS = 1_000_000
private const val MAXIMUM_PORT = 65_535
private val ADDRESS_PATTERN = Regex("""([0-9.]+):(\d{1,5})""")

/** Options that describe a workload: requests, rate and latency targets. */
internal class WorkloadOptions : OptionGroup("Workload") {
    private val kind by option("--kind", help = "Kind of requests (default generation).")
        .choice(RequestKind.entries.associateBy { it.label })
        .default(RequestKind.GENERATION)
    private val service by option("--service", help = "Service to call (default lesson-lm).").default("lesson-lm")
    private val requestClass by option("--class", help = "Request class (default that of the service).")
    private val rate by option("--rate", help = "Requests per second (default 10).")
        .double().restrictTo(0.01..MAXIMUM_RATE_PER_SECOND).default(10.0)
    private val durationSeconds by option("--seconds", help = "Length of a run (default 10).")
        .int().restrictTo(1..MAXIMUM_SECONDS).default(10)
    private val streams by option("--streams", help = "Number of requests sent at once, instead of a rate.")
        .int().restrictTo(1..MAXIMUM_STREAMS)
    private val seed by option("--seed", help = "Seed of the arrival times (default 1).").long().default(1)
    private val warmUp by option("--warm-up", help = "Requests sent beforehand, not counted (default 0).")
        .int().restrictTo(min = 0).default(0)
    private val promptTokens by option("--prompt-tokens", help = "Words in a prompt (default 20).")
        .int().restrictTo(1..MAXIMUM_TOKENS).default(20)
    private val outputTokens by option("--output-tokens", help = "Tokens in an answer (default 10).")
        .int().restrictTo(1..MAXIMUM_TOKENS).default(10)
    private val firstTokenTarget by option(
        "--first-token-target-ms",
        help = "Target of the first token (default 2000).",
    )
        .int().restrictTo(min = 1).default(2000)
    private val tokenGapTarget by option("--token-gap-target-ms", help = "Target of gaps between tokens (default 200).")
        .int().restrictTo(min = 1).default(200)

    /** Returns the workload of a [round]; each round has other arrival times. */
    fun workload(round: Int = 0): Workload = Workload(
        kind = kind,
        service = service,
        requestClass = requestClass,
        promptTokens = promptTokens,
        outputTokens = outputTokens,
        seed = seed + round,
        arrivals = streams?.let { count -> List(count) { Duration.ZERO } }
            ?: poissonArrivals(rate, durationSeconds.seconds, seed + round),
        warmUpRequests = warmUp,
        firstTokenTarget = firstTokenTarget.milliseconds,
        tokenGapTarget = tokenGapTarget.milliseconds,
    )
}

/** Parses an IPv4 address and port; fails with the allowed format. */
internal fun OptionCallTransformContext.parseAddress(value: String): Address {
    val match = ADDRESS_PATTERN.matchEntire(value)
    val port = match?.groupValues?.get(2)?.toInt()
    if (match == null || port !in 1..MAXIMUM_PORT) {
        fail("'$value' is invalid; allowed: IP:PORT with a port from 1 to $MAXIMUM_PORT")
    }
    return Address(match.groupValues[1], checkNotNull(port))
}
