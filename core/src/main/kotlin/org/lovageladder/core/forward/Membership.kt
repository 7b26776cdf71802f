package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.Moment
import org.lovageladder.core.PlaceName
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * An upstream as it registered itself. A [name] belongs to one incarnation of the upstream unless [startedAt], the
 * wall-clock time of the start in milliseconds, says otherwise. A registration with a higher [revision] replaces an
 * earlier one.
 */
public data class UpstreamRegistration(
    val name: UpstreamName,
    val service: ServiceName,
    val address: Address,
    val place: PlaceName,
    val slots: Int,
    val isLeaving: Boolean,
    val role: PoolRole,
    val startedAt: Long?,
    val revision: Long,
) {
    /** This incarnation of the upstream. */
    val incarnation: UpstreamIncarnation get() = UpstreamIncarnation(name, address, startedAt)
}

/** A change reported by the registry of upstreams. */
public sealed interface RegistryChange {
    /** An upstream registered itself or updated its registration. */
    public data class Registered(val registration: UpstreamRegistration) : RegistryChange

    /** The registration of an upstream was removed at [revision]. */
    public data class Removed(val name: UpstreamName, val revision: Long) : RegistryChange

    /** A role change of an engine was announced, or the announcement was withdrawn. */
    public data class RoleChangeAnnounced(val name: UpstreamName, val isAnnounced: Boolean) : RegistryChange

    /** Whether some process holds leadership and may give orders to engines. */
    public data class LeaderChanged(val hasLeader: Boolean) : RegistryChange

    /** Whether the entry [name] is registered, and where it receives messages of other entries, if it does. */
    public data class EntryRegistrationChanged(
        val name: ProcessName,
        val isRegistered: Boolean,
        val messageAddress: Address? = null,
    ) : RegistryChange

    /**
     * An entry reported that the upstream [name] accepts [requestsPerSecond] from all entries together, or has no limit
     * any more when null.
     */
    public data class RequestLimitReported(val name: UpstreamName, val requestsPerSecond: Double?) : RegistryChange

    /** An entry reported on a part of prompts. */
    public data class PromptReported(val report: PromptReport) : RegistryChange

    /** A full read of the registry. Upstreams that are not in [registrations] have no registration. */
    public data class FullRead(val registrations: List<UpstreamRegistration>) : RegistryChange

    /** The registry is unavailable; it last answered [silentFor] ago. */
    public data class Unavailable(val silentFor: Duration = Duration.ZERO) : RegistryChange

    /** The registry is available again; it has answered for [answeringFor]. */
    public data class Available(val answeringFor: Duration = Duration.ZERO) : RegistryChange

    /**
     * The registry was restored from an older copy; a full read follows. What was written since the copy is gone until
     * it is written again, leases have ended, and revisions begin anew.
     */
    public data object Restored : RegistryChange
}

/**
 * Upstreams that may get requests, according to the registry. Upstreams renew their registrations every
 * [registrationInterval], and a registration expires after [EXPIRY_INTERVALS] of them. Registrations can therefore
 * expire during a registry outage although their upstreams are alive. An upstream whose registration is removed during
 * such an outage or shortly after it stays in use until [REGISTRATION_GRACE_PERIOD] after the registry answered again.
 * In a shorter silence of the registry, such as a connection that was lost, no living upstream's registration expires,
 * so that one that is missing afterwards was removed.
 *
 * The copy from which a registry is restored is older than what this process knows: an upstream that left, is leaving
 * or was started anew since does not come back by it, but only by a registration of its own. Confined to one thread.
 */
public class Membership(private val registrationInterval: Duration = DEFAULT_REGISTRATION_INTERVAL) {
    private val registrations = HashMap<UpstreamName, UpstreamRegistration>()
    private val missingSince = HashMap<UpstreamName, Moment>()
    private val endedStarts = HashMap<UpstreamName, Long?>()
    private val removedAt = HashMap<UpstreamName, Moment>()
    private val withdrawnSince = HashMap<UpstreamName, Moment>()
    private val changingRole = HashSet<UpstreamName>()
    private var isRestored = false
    private var gracePeriodUntil: Moment? = null
    private var unavailableSince: Moment? = null

    /** Whether the registry was read at least once. */
    public var isLoaded: Boolean = false
        private set

    /** Applies [change]. */
    public fun apply(change: RegistryChange, now: Moment) {
        when (change) {
            is RegistryChange.Registered -> update(change.registration, now)
            is RegistryChange.Removed -> remove(change, now)
            is RegistryChange.RoleChangeAnnounced ->
                if (change.isAnnounced) changingRole += change.name else changingRole -= change.name
            is RegistryChange.LeaderChanged,
            is RegistryChange.EntryRegistrationChanged,
            is RegistryChange.RequestLimitReported,
            is RegistryChange.PromptReported,
            -> Unit
            is RegistryChange.FullRead -> replaceAll(change.registrations, now)
            is RegistryChange.Unavailable -> unavailableSince = unavailableSince ?: (now - change.silentFor)
            is RegistryChange.Available -> endOutage(now - change.answeringFor)
            RegistryChange.Restored -> {
                isRestored = true
                gracePeriodUntil = now + REGISTRATION_GRACE_PERIOD
            }
        }
    }

    private fun endOutage(endedAt: Moment) {
        val since = unavailableSince ?: return
        unavailableSince = null
        if (canExpireWithin(endedAt - since)) gracePeriodUntil = endedAt + REGISTRATION_GRACE_PERIOD
    }

    /** Whether a registration can expire in an [outage]; its last renewal may be an interval older than the outage. */
    private fun canExpireWithin(outage: Duration): Boolean = outage >= registrationInterval * (EXPIRY_INTERVALS - 1)

    /** Removes the upstream [name] after it, or its address, reported that this incarnation has ended. */
    public fun removeEnded(name: UpstreamName) {
        val registration = registrations.remove(name) ?: return
        missingSince.remove(name)
        endedStarts[name] = registration.startedAt
    }

    private fun isEndedStart(name: UpstreamName, startedAt: Long?) =
        endedStarts.containsKey(name) && endedStarts[name] == startedAt

    /** Whether [incarnation] may have ended: it was reported, or another one has its name or address. */
    public fun mayHaveEnded(incarnation: UpstreamIncarnation): Boolean =
        hasEnded(incarnation) || registrations.values.any { isOtherAtAddress(it, incarnation) }

    /**
     * Whether [incarnation] is known to have ended: it was reported, its name has another start or address, or another
     * upstream registered at its address later. One that registered before it ended earlier, and has not expired yet.
     */
    public fun hasEnded(incarnation: UpstreamIncarnation): Boolean {
        if (isEndedStart(incarnation.name, incarnation.startedAt)) return true
        val current = registrations[incarnation.name]
        if (current != null && current.incarnation != incarnation) return true
        val revision = current?.revision ?: NO_REVISION
        return registrations.values.any { isOtherAtAddress(it, incarnation) && it.revision > revision }
    }

    private fun isOtherAtAddress(registration: UpstreamRegistration, incarnation: UpstreamIncarnation) =
        registration.name != incarnation.name && registration.address == incarnation.address

    /**
     * Whether the upstream of [chosen] accepts at [now] a request that was to be sent there by an earlier decision. It
     * does until shortly after it began to leave or was removed, unless it was replaced or has another role. An
     * upstream that [serving] returns with the same role is always admitted, so that no request is decided again
     * without end.
     */
    public fun admitsDecided(chosen: UpstreamRegistration, now: Moment): Boolean {
        removeExpired(now)
        if (isEndedStart(chosen.name, chosen.startedAt)) return false
        val current = registrations[chosen.name]
        val isReplaced = current != null && current.incarnation != chosen.incarnation
        val hasOtherRole = current != null && (current.role != chosen.role || current.name in changingRole)
        if (isReplaced || hasOtherRole) return false
        val since = withdrawnSince[chosen.name] ?: return current != null
        return now - since < IN_FLIGHT_TOLERANCE
    }

    /** Upstreams of [service] that accept new requests at [now]. */
    public fun serving(service: ServiceName, now: Moment): List<UpstreamRegistration> =
        registered(service, now).filter { it.name !in changingRole }

    /** Upstreams of [service] at [now], including those whose role is changing, excluding those that leave. */
    public fun registered(service: ServiceName, now: Moment): List<UpstreamRegistration> {
        removeExpired(now)
        return registrations.values.filter { it.service == service && !it.isLeaving }
    }

    /** The upstream [name], also when it is leaving; null when it is unknown. */
    public operator fun get(name: UpstreamName): UpstreamRegistration? = registrations[name]

    private fun update(registration: UpstreamRegistration, now: Moment) {
        if (isEndedStart(registration.name, registration.startedAt)) return
        val current = registrations[registration.name]
        if (current != null && current.revision > registration.revision) return
        endedStarts.remove(registration.name)
        removedAt.remove(registration.name)
        missingSince.remove(registration.name)
        registrations[registration.name] = registration
        if (registration.isLeaving) {
            withdrawnSince.putIfAbsent(registration.name, now)
        } else {
            withdrawnSince.remove(registration.name)
        }
    }

    private fun remove(change: RegistryChange.Removed, now: Moment) {
        val current = registrations[change.name] ?: return
        if (current.revision < change.revision) markMissing(change.name, now)
    }

    private fun markMissing(name: UpstreamName, now: Moment) {
        if (isGracePeriod(now)) {
            missingSince.putIfAbsent(name, now)
        } else {
            registrations.remove(name)
            missingSince.remove(name)
            recordRemoval(name, now)
        }
    }

    private fun recordRemoval(name: UpstreamName, since: Moment) {
        removedAt[name] = since
        withdrawnSince.putIfAbsent(name, since)
    }

    /** Whether a missing registration may still be renewed by a living upstream. */
    private fun isGracePeriod(now: Moment): Boolean =
        unavailableSince != null || gracePeriodUntil?.let { now < it } ?: false

    private fun replaceAll(newRegistrations: List<UpstreamRegistration>, now: Moment) {
        isLoaded = true
        changingRole.clear()
        val names = newRegistrations.mapTo(HashSet()) { it.name }
        registrations.keys.filter { it !in names }.forEach { markMissing(it, now) }
        endedStarts.keys.retainAll(names)
        removedAt.values.removeIf { now - it > REMOVAL_MEMORY }
        withdrawnSince.entries.removeIf { (name, since) -> name !in registrations && now - since > REMOVAL_MEMORY }
        val current = if (isRestored) newRegistrations.mapNotNull(::correctCopy) else newRegistrations
        if (isRestored) registrations.replaceAll { _, registration -> registration.copy(revision = NO_REVISION) }
        isRestored = false
        current.forEach { update(it, now) }
    }

    /** Corrects [copy], from before the registry was restored, by what this process knows; null when it has left. */
    private fun correctCopy(copy: UpstreamRegistration): UpstreamRegistration? {
        if (copy.name in removedAt) return null
        val known = registrations[copy.name] ?: return copy
        val isEarlierStart = known.startedAt != null && copy.startedAt != null && copy.startedAt < known.startedAt
        val isSameStart = known.startedAt == copy.startedAt
        return when {
            isEarlierStart -> known.copy(revision = copy.revision)
            isSameStart -> copy.copy(isLeaving = copy.isLeaving || known.isLeaving)
            else -> copy
        }
    }

    private fun removeExpired(now: Moment) {
        if (missingSince.isEmpty() || isGracePeriod(now)) return
        registrations.keys.removeAll(missingSince.keys)
        missingSince.forEach { (name, since) -> recordRemoval(name, since) }
        missingSince.clear()
    }

    private companion object {
        /** Below all revisions of a registry. */
        const val NO_REVISION = 0L

        /** A copy from which a registry is restored is younger than this. */
        val REMOVAL_MEMORY: Duration = 5.minutes

        /** Living upstreams have registered again by this time after the registry became available. */
        val REGISTRATION_GRACE_PERIOD: Duration = 2_300.milliseconds

        /** Renewals that an upstream misses before its registration expires. */
        const val EXPIRY_INTERVALS = 3
    }
}

internal val DEFAULT_REGISTRATION_INTERVAL: Duration = 1_200.milliseconds
