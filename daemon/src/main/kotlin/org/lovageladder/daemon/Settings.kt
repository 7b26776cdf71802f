package org.lovageladder.daemon

import org.lovageladder.core.Address
import org.lovageladder.core.CompanionSettings
import org.lovageladder.core.EntrySettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Settings of a process of any role, without those of its decisions. */
internal data class ProcessSettings(
    val admin: Address,
    val store: List<Address>,
    val hostList: Address? = null,
    val hostListInterval: Duration = 1.seconds,
    val drainTimeout: Duration = 10.minutes,
)

/** Settings of an entry process; callers connect to [callerAddress]. */
internal data class EntryProcessSettings(
    val decisions: EntrySettings,
    val process: ProcessSettings,
    val callerAddress: Address,
)

/** Settings of a companion process; entries connect to [peerAddress]. */
internal data class CompanionProcessSettings(
    val decisions: CompanionSettings,
    val process: ProcessSettings,
    val peerAddress: Address,
)
