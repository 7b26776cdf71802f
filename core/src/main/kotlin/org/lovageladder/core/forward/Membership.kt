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
 * An upstream as it registered itself. Its name is unique to one start of the upstream unless [startedAt], the
 * wall-clock millisecond of its start, says otherwise. [revision] orders what was registered of it.
 */
public data class Member(
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
    val start: UpstreamStart get() = UpstreamStart(name, address, startedAt)
}

/** What the registry of upstreams told. */
public sealed interface RegistryChange {
    /** An upstream registered itself or changed. */
    public data class Written(val member: Member) : RegistryChange

    /** An upstream's entry was removed at [revision]. */
    public data class Removed(val name: UpstreamName, val revision: Long) : RegistryChange

    /** An engine changes its role, or does so no longer. */
    public data class RoleChanging(val name: UpstreamName, val changing: Boolean) : RegistryChange

    /** Whether some process is the leader, which gives orders to engines. */
    public data class LeaderSeen(val held: Boolean) : RegistryChange

    /** The registration of the entry [name] is there, or not any more. */
    public data class EntrySeen(val name: ProcessName, val registered: Boolean) : RegistryChange

    /** The registry was read whole; upstreams that are not in [members] have no entry. */
    public data class ReadWhole(val members: List<Member>) : RegistryChange

    /** The registry does not answer. */
    public data object Lost : RegistryChange

    /** The registry answers again. */
    public data object Regained : RegistryChange
}

/**
 * Upstreams that may get requests, as far as the registry tells. Entries expire while the registry is away although
 * their upstreams live; so an entry that vanishes during an outage, or shortly after it, keeps its upstream in use
 * until [REGISTRATION_GRACE] has passed since the registry came back. Confined to one thread.
 */
public class Membership {
    private val members = HashMap<UpstreamName, Member>()
    private val vanished = HashSet<UpstreamName>()
    private val ended = HashMap<UpstreamName, Long?>()
    private val changingRole = HashSet<UpstreamName>()
    private var graceUntil: Moment? = null
    private var lost = false

    /** Whether the registry was read at least once. */
    public var known: Boolean = false
        private set

    /** Takes in [change]. */
    public fun apply(change: RegistryChange, now: Moment) {
        when (change) {
            is RegistryChange.Written -> put(change.member)
            is RegistryChange.Removed -> remove(change, now)
            is RegistryChange.RoleChanging ->
                if (change.changing) changingRole += change.name else changingRole -= change.name
            is RegistryChange.LeaderSeen, is RegistryChange.EntrySeen -> Unit
            is RegistryChange.ReadWhole -> replace(change.members, now)
            RegistryChange.Lost -> lost = true
            RegistryChange.Regained -> {
                lost = false
                graceUntil = now + REGISTRATION_GRACE
            }
        }
    }

    /** Forgets the upstream [name]: it told, or its address told, that this start of it has ended. */
    public fun drop(name: UpstreamName) {
        val member = members.remove(name) ?: return
        vanished.remove(name)
        ended[name] = member.startedAt
    }

    /** Upstreams of [service] that take new requests at [now]. */
    public fun serving(service: ServiceName, now: Moment): List<Member> =
        registered(service, now).filter { it.name !in changingRole }

    /** Upstreams of [service] at [now], also those that change their role. */
    public fun registered(service: ServiceName, now: Moment): List<Member> {
        expire(now)
        return members.values.filter { it.service == service && !it.leaving }
    }

    /** The upstream [name], also when it is leaving. */
    public operator fun get(name: UpstreamName): Member? = members[name]

    private fun put(member: Member) {
        if (ended.containsKey(member.name) && ended[member.name] == member.startedAt) return
        val known = members[member.name]
        if (known != null && known.revision > member.revision) return
        ended.remove(member.name)
        vanished.remove(member.name)
        members[member.name] = member
    }

    private fun remove(change: RegistryChange.Removed, now: Moment) {
        val known = members[change.name] ?: return
        if (known.revision < change.revision) vanish(change.name, now)
    }

    private fun vanish(name: UpstreamName, now: Moment) {
        if (isGrace(now)) {
            vanished += name
        } else {
            members.remove(name)
            vanished.remove(name)
        }
    }

    /** Whether an entry that is missing may still come back. */
    private fun isGrace(now: Moment): Boolean = lost || graceUntil?.let { now < it } ?: false

    private fun replace(listed: List<Member>, now: Moment) {
        known = true
        changingRole.clear()
        val names = listed.mapTo(HashSet()) { it.name }
        members.keys.filter { it !in names }.forEach { vanish(it, now) }
        ended.keys.retainAll(names)
        listed.forEach(::put)
    }

    private fun expire(now: Moment) {
        if (vanished.isEmpty() || isGrace(now)) return
        members.keys.removeAll(vanished)
        vanished.clear()
    }

    private companion object {
        /** Entries of living upstreams are back this soon after the registry's return. */
        val REGISTRATION_GRACE: Duration = 2_300.milliseconds
    }
}
