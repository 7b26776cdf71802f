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

/**
 * An upstream as it registered itself. A [name] belongs to one start of the upstream unless [startedAt], the wall-clock
 * time of the start in milliseconds, says otherwise. A registration with a higher [revision] replaces an earlier one.
 */
public data class UpstreamRegistration(
    val name: UpstreamName,
    val service: ServiceName,
    val address: Address,
    val place: PlaceName,
    val slots: Int,
    val leaving: Boolean,
    val role: PoolRole,
    val startedAt: Long?,
    val revision: Long,
) {
    /** This start of the upstream. */
    val start: UpstreamIncarnation get() = UpstreamIncarnation(name, address, startedAt)
}

/** A change reported by the registry of upstreams. */
public sealed interface RegistryChange {
    /** An upstream registered itself or updated its registration. */
    public data class Registered(val member: UpstreamRegistration) : RegistryChange

    /** The registration of an upstream was removed at [revision]. */
    public data class Removed(val name: UpstreamName, val revision: Long) : RegistryChange

    /** A role change of an engine was announced, or the announcement was withdrawn. */
    public data class RoleChangeAnnounced(val name: UpstreamName, val changing: Boolean) : RegistryChange

    /** Whether some process holds leadership and may give orders to engines. */
    public data class LeaderChanged(val held: Boolean) : RegistryChange

    /** Whether the entry [name] is registered. */
    public data class EntryRegistrationChanged(val name: ProcessName, val registered: Boolean) : RegistryChange

    /** A full read of the registry. Upstreams that are not in [members] have no registration. */
    public data class FullRead(val members: List<UpstreamRegistration>) : RegistryChange

    /** The registry is unavailable. */
    public data object Unavailable : RegistryChange

    /** The registry is available again. */
    public data object Available : RegistryChange
}

/**
 * Upstreams that may get requests, according to the registry. Registrations can expire during a registry outage
 * although their upstreams are alive. An upstream whose registration is removed during an outage or shortly after it
 * therefore stays in use until [REGISTRATION_GRACE_PERIOD] after the registry became available. Confined to one thread.
 */
public class Membership {
    private val members = HashMap<UpstreamName, UpstreamRegistration>()
    private val missing = HashSet<UpstreamName>()
    private val endedStarts = HashMap<UpstreamName, Long?>()
    private val changingRole = HashSet<UpstreamName>()
    private var gracePeriodUntil: Moment? = null
    private var isUnavailable = false

    /** Whether the registry was read at least once. */
    public var isLoaded: Boolean = false
        private set

    /** Applies [change]. */
    public fun apply(change: RegistryChange, now: Moment) {
        when (change) {
            is RegistryChange.Registered -> update(change.member)
            is RegistryChange.Removed -> remove(change, now)
            is RegistryChange.RoleChangeAnnounced ->
                if (change.changing) changingRole += change.name else changingRole -= change.name
            is RegistryChange.LeaderChanged, is RegistryChange.EntryRegistrationChanged -> Unit
            is RegistryChange.FullRead -> replaceAll(change.members, now)
            RegistryChange.Unavailable -> isUnavailable = true
            RegistryChange.Available -> {
                isUnavailable = false
                gracePeriodUntil = now + REGISTRATION_GRACE_PERIOD
            }
        }
    }

    /** Removes the upstream [name] after it, or its address, reported that this start of it has ended. */
    public fun removeEnded(name: UpstreamName) {
        val member = members.remove(name) ?: return
        missing.remove(name)
        endedStarts[name] = member.startedAt
    }

    /** Upstreams of [service] that accept new requests at [now]. */
    public fun serving(service: ServiceName, now: Moment): List<UpstreamRegistration> =
        registered(service, now).filter { it.name !in changingRole }

    /** Upstreams of [service] at [now], including those whose role is changing, excluding those that leave. */
    public fun registered(service: ServiceName, now: Moment): List<UpstreamRegistration> {
        removeExpired(now)
        return members.values.filter { it.service == service && !it.leaving }
    }

    /** The upstream [name], also when it is leaving; null when it is unknown. */
    public operator fun get(name: UpstreamName): UpstreamRegistration? = members[name]

    private fun update(member: UpstreamRegistration) {
        if (endedStarts.containsKey(member.name) && endedStarts[member.name] == member.startedAt) return
        val current = members[member.name]
        if (current != null && current.revision > member.revision) return
        endedStarts.remove(member.name)
        missing.remove(member.name)
        members[member.name] = member
    }

    private fun remove(change: RegistryChange.Removed, now: Moment) {
        val current = members[change.name] ?: return
        if (current.revision < change.revision) markMissing(change.name, now)
    }

    private fun markMissing(name: UpstreamName, now: Moment) {
        if (isGracePeriod(now)) {
            missing += name
        } else {
            members.remove(name)
            missing.remove(name)
        }
    }

    /** Whether a missing registration may still be renewed by a living upstream. */
    private fun isGracePeriod(now: Moment): Boolean = isUnavailable || gracePeriodUntil?.let { now < it } ?: false

    private fun replaceAll(registrations: List<UpstreamRegistration>, now: Moment) {
        isLoaded = true
        changingRole.clear()
        val names = registrations.mapTo(HashSet()) { it.name }
        members.keys.filter { it !in names }.forEach { markMissing(it, now) }
        endedStarts.keys.retainAll(names)
        registrations.forEach(::update)
    }

    private fun removeExpired(now: Moment) {
        if (missing.isEmpty() || isGracePeriod(now)) return
        members.keys.removeAll(missing)
        missing.clear()
    }

    private companion object {
        /** Living upstreams have registered again by this time after the registry became available. */
        val REGISTRATION_GRACE_PERIOD: Duration = 2_300.milliseconds
    }
}
