package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** How an entry chooses among upstreams. [LEDGER] is the default; [ROUND_ROBIN] is a baseline for comparison. */
public enum class ChoicePolicy {
    LEDGER,
    ROUND_ROBIN,
}

/** A companion that an entry knows from its settings, before it has a release. */
public data class BootstrapPeer(val host: HostName, val address: Address)

/** Limits and intervals of an entry's decisions. */
public data class EntrySettings(
    val process: ProcessName,
    val host: HostName,
    val place: PlaceName,
    val incarnation: Incarnation,
    val bootstrap: List<BootstrapPeer> = emptyList(),
    val policy: ChoicePolicy = ChoicePolicy.LEDGER,
    val randomSeed: Long = incarnation.number,
    val heartbeatInterval: Duration = 1.seconds,
    val peerSilenceLimit: Duration = 3.seconds,
    val reconnectInterval: Duration = 500.milliseconds,
    val storeTimeout: Duration = 500.milliseconds,
    val storeRefreshInterval: Duration = 2.seconds,
    val voidTimeout: Duration = 500.milliseconds,
    val claimLeaseTimeToLive: Duration = 24.hours,
    val retryBudgetRatio: Double = 0.1,
    val hedgeBudgetRatio: Double = 0.05,
    val ejectedShareLimit: Double = 0.34,
    val hedging: Boolean = true,
    val reserveFirst: Boolean = true,
    val earlyRefusal: Boolean = true,
)

/** Limits and intervals of a companion's decisions. */
public data class CompanionSettings(
    val process: ProcessName,
    val host: HostName,
    val place: PlaceName,
    val incarnation: Incarnation,
    val peerSilenceLimit: Duration = 3.seconds,
    val storeTimeout: Duration = 500.milliseconds,
    val storeRefreshInterval: Duration = 30.seconds,
    val cancelRetryInterval: Duration = 100.milliseconds,
    val claimMemory: Duration = 60.minutes,
    val queueLimit: Int = 256,
)
