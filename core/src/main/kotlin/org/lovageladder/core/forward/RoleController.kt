package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Outcome of an order. */
public sealed interface OrderResult {
    /** The engine carries out the order, or did so before. */
    public data object Accepted : OrderResult

    /** The engine refused. [isFenced] is set when it knows a higher fencing number. */
    public data class Refused(val status: Int, val isFenced: Boolean) : OrderResult

    /** No answer; the engine may carry out the order, possibly later. */
    public data class Unknown(val detail: String) : OrderResult
}

/** Port for role changes of engines. */
public interface RoleOrderPort {
    /** Announces to all entries that [engine] changes its role, until [withdrawAnnouncement] or the end of [lease]. */
    public fun announceRoleChange(engine: UpstreamName, lease: LeaderLease, answer: (Boolean) -> Unit)

    /** Withdraws the announcement about [engine]. */
    public fun withdrawAnnouncement(engine: UpstreamName)

    /** Orders [engine] to change to [role]. It refuses if it has seen a fencing number above [fencingNumber]. */
    public fun orderRole(
        engine: UpstreamRegistration,
        role: PoolRole,
        fencingNumber: Long,
        answer: (OrderResult) -> Unit,
    )
}

/**
 * Changes the roles of engines according to the [RolePlan] of their service while this process is the leader.
 *
 * A change is announced first, and the order follows when all entries have had time to stop using the engine, because
 * an engine under an order still grants reservations and then declines their requests. The announcement is withdrawn
 * once the registry shows the new role or the time for the change has passed. Confined to one thread.
 */
internal class RoleController(
    private val context: ForwardContext,
    private val leaderElection: LeaderElection,
    private val roleOrderPort: RoleOrderPort,
) {
    /** A change to [role] that has been needed since [since]. */
    private data class ChangeNeed(val role: PoolRole, val since: Moment)

    /** A change to [role] in progress, which is not waited for after [expiresAt]. */
    private class PendingChange(val role: PoolRole, val expiresAt: Moment)

    private val pendingChanges = HashMap<UpstreamName, PendingChange>()
    private val changeNeeds = HashMap<ServiceName, ChangeNeed>()

    /** Begins the next role change in [service] if one is due. [work] is the load of an engine in any unit. */
    fun startDueChange(
        service: ServiceName,
        engine: EngineConfiguration,
        plan: RolePlan,
        work: (UpstreamRegistration) -> Int,
    ) {
        val now = context.now()
        removeCompleted(now)
        val lease = leaderElection.activeLease ?: return
        val upstreams = context.membership.registered(service, now).filter { isEligible(it, now) }
        val change = nextChange(plan, upstreams, work)
        if (change == null) changeNeeds.remove(service)
        if (change == null || !hasPersisted(service, change.role, plan, now)) return
        changeNeeds.remove(service)
        val name = change.engine.name
        pendingChanges[name] =
            PendingChange(change.role, now + ANNOUNCEMENT_TIME + engine.roleChangeDuration + LATE_ORDER_TIME)
        context.record(
            EventKind.ROLE_CHANGE_BEGUN,
            upstream = name,
            detail = "role=${change.role} lease=${lease.fencingNumber}",
        )
        roleOrderPort.announceRoleChange(name, lease) { isAnnounced ->
            if (isAnnounced) scheduleOrder(change, lease) else rejectChange(name, "announcement failed")
        }
    }

    private fun isEligible(upstream: UpstreamRegistration, now: Moment): Boolean = upstream.role != PoolRole.PLAIN &&
        context.notices.admits(upstream.incarnation, now) &&
        context.requestLimits.limitOf(upstream.name, now) == null &&
        !context.notices.isLeaving(upstream.incarnation)

    private fun scheduleOrder(change: RoleChange, lease: LeaderLease) {
        context.scheduler.schedule(ANNOUNCEMENT_TIME) { giveOrder(change, lease) }
    }

    /**
     * Next change, with the changes in progress counted as done. An engine leaves the decode role only when no other
     * change is in progress.
     */
    private fun nextChange(
        plan: RolePlan,
        upstreams: List<UpstreamRegistration>,
        work: (UpstreamRegistration) -> Int,
    ): RoleChange? {
        val withPendingRoles = upstreams.map { upstream ->
            pendingChanges[upstream.name]?.let { upstream.copy(role = it.role) } ?: upstream
        }
        val change =
            plan.nextChange(withPendingRoles) { if (it.name in pendingChanges) Int.MAX_VALUE else work(it) }
                ?: return null
        if (change.engine.name in pendingChanges) return null
        return change.takeIf { it.role == PoolRole.DECODE || pendingChanges.isEmpty() }
    }

    /** Once requests run, a role change costs some of them, so the need for it must persist first. */
    private fun hasPersisted(service: ServiceName, role: PoolRole, plan: RolePlan, now: Moment): Boolean {
        if (!plan.hasEnoughSamples) return true
        val need = changeNeeds[service]?.takeIf { it.role == role } ?: ChangeNeed(role, now)
        changeNeeds[service] = need
        return now - need.since >= MINIMUM_NEED_DURATION
    }

    private fun giveOrder(change: RoleChange, lease: LeaderLease) {
        val name = change.engine.name
        if (leaderElection.activeLease != lease) {
            rejectChange(name, "leadership was lost")
            return
        }
        if (context.requestLimits.limitOf(name, context.now()) != null) {
            rejectChange(name, "the engine named a limit on its requests")
            return
        }
        context.record(
            EventKind.ROLE_ORDERED,
            upstream = name,
            detail = "role=${change.role} fencing=${lease.fencingNumber}",
        )
        roleOrderPort.orderRole(change.engine, change.role, lease.fencingNumber) { answer ->
            onOrderAnswer(name, change.role, answer)
        }
    }

    private fun onOrderAnswer(engine: UpstreamName, role: PoolRole, answer: OrderResult) {
        when (answer) {
            OrderResult.Accepted ->
                context.record(EventKind.ORDER_GIVEN, upstream = engine, detail = "role=$role accepted")
            is OrderResult.Refused -> {
                rejectChange(engine, "role=$role status ${answer.status}")
                if (answer.isFenced) leaderElection.resign()
            }
            is OrderResult.Unknown ->
                context.record(
                    EventKind.ORDER_REFUSED,
                    upstream = engine,
                    detail = "role=$role no answer: ${answer.detail}",
                )
        }
    }

    /**
     * Records that the change is not carried out and withdraws it. The engine stays pending until the time for the
     * change has passed, so that the change is not tried again at once.
     */
    private fun rejectChange(engine: UpstreamName, detail: String) {
        context.record(EventKind.ORDER_REFUSED, upstream = engine, detail = detail)
        withdrawAnnouncement(engine)
    }

    /** Without leadership the announcement ends with its lease. */
    private fun withdrawAnnouncement(engine: UpstreamName) {
        if (leaderElection.activeLease != null) roleOrderPort.withdrawAnnouncement(engine)
    }

    private fun removeCompleted(now: Moment) {
        val completed =
            pendingChanges
                .filter { (name, change) -> now >= change.expiresAt || isRoleRegistered(name, change.role) }
                .keys
                .toList()
        completed.forEach { name ->
            pendingChanges.remove(name)
            withdrawAnnouncement(name)
        }
    }

    /** Whether the registry shows engine [name] with [role], or no longer has it. */
    private fun isRoleRegistered(name: UpstreamName, role: PoolRole): Boolean {
        val upstream = context.membership[name]
        return upstream == null || upstream.role == role
    }

    private companion object {
        /**
         * Time for all entries to see the announcement, since they watch the registry with short delays, and to use the
         * reservations that they have.
         */
        val ANNOUNCEMENT_TIME: Duration = 500.milliseconds

        /** Crashed upstreams are often back within this time. */
        val MINIMUM_NEED_DURATION: Duration = 4.seconds

        /** An order whose answer was lost may be carried out this much later. */
        val LATE_ORDER_TIME: Duration = 13.seconds
    }
}
