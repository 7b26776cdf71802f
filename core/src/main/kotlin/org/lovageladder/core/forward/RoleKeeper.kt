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
public sealed interface OrderAnswer {
    /** The engine carries the order out, or had done so before. */
    public data object Accepted : OrderAnswer

    /** The engine refused; [outdated] when it knows a higher fencing number. */
    public data class Refused(val status: Int, val outdated: Boolean) : OrderAnswer

    /** No answer: the order may be carried out, perhaps later. */
    public data class Unknown(val detail: String) : OrderAnswer
}

/** Orders to engines. */
public interface RoleOrders {
    /** Tells all entries, until [withdraw] or the end of [lease], that [engine] changes its role. */
    public fun announce(engine: UpstreamName, lease: LeaderLease, answer: (Boolean) -> Unit)

    /** Takes the announcement about [engine] back. */
    public fun withdraw(engine: UpstreamName)

    /** Orders [engine] to take on [role]; it refuses when it saw a fencing number above [fencing]. */
    public fun order(engine: Member, role: PoolRole, fencing: Long, answer: (OrderAnswer) -> Unit)
}

/**
 * Changes the roles of engines by the plan of their service while this process leads. An engine is announced
 * first and gets its order when all entries have had time to leave it out, since an engine under an order still grants
 * reservations and then declines their requests. The announcement is taken back once the registry shows the new role
 * or the time for it has surely passed. Confined to one thread.
 */
internal class RoleKeeper(
    private val context: ForwardContext,
    private val leadership: Leadership,
    private val orders: RoleOrders,
) {
    private data class Due(val role: PoolRole, val since: Moment)

    private class Pending(val role: PoolRole, val until: Moment)

    private val pending = HashMap<UpstreamName, Pending>()
    private val due = HashMap<ServiceName, Due>()

    /** Begins the next change in [service] if one is due. */
    fun keep(service: ServiceName, engine: EngineTraits, plan: RolePlan, work: (Member) -> Int) {
        val now = context.now()
        settle(now)
        val lease = leadership.inForce ?: return
        val members = context.membership.registered(service, now).filter { mayBeOrdered(it, now) }
        val change = nextChange(plan, members, work)
        if (change == null) due.remove(service)
        if (change == null || !isLasting(service, change.role, plan, now)) return
        due.remove(service)
        val name = change.engine.name
        pending[name] = Pending(change.role, now + ANNOUNCED + engine.roleChangeTime + LATE_ORDER)
        context.record(
            EventKind.ROLE_CHANGE_BEGUN,
            upstream = name,
            detail = "role=${change.role} lease=${lease.fencing}",
        )
        orders.announce(name, lease) { announced ->
            if (announced) orderLater(change, lease) else abandon(name, "not announced")
        }
    }

    private fun mayBeOrdered(member: Member, now: Moment): Boolean = member.role != PoolRole.PLAIN &&
        context.notices.admits(member.start, now) &&
        !context.notices.isLeaving(member.start)

    private fun orderLater(change: RoleChange, lease: LeaderLease) {
        context.scheduler.after(ANNOUNCED) { order(change, lease) }
    }

    /** Changes under way count as done. An engine is taken out of decode only when no other change is under way. */
    private fun nextChange(plan: RolePlan, members: List<Member>, work: (Member) -> Int): RoleChange? {
        val planned = members.map { member -> pending[member.name]?.let { member.copy(role = it.role) } ?: member }
        val change = plan.nextChange(planned) { if (it.name in pending) Int.MAX_VALUE else work(it) } ?: return null
        if (change.engine.name in pending) return null
        return change.takeIf { it.role == PoolRole.DECODE || pending.isEmpty() }
    }

    /** Once requests run, a change costs some of them; the need for it must have lasted. */
    private fun isLasting(service: ServiceName, role: PoolRole, plan: RolePlan, now: Moment): Boolean {
        if (!plan.measured) return true
        val need = due[service]?.takeIf { it.role == role } ?: Due(role, now)
        due[service] = need
        return now - need.since >= LASTING
    }

    private fun order(change: RoleChange, lease: LeaderLease) {
        val name = change.engine.name
        if (leadership.inForce != lease) {
            abandon(name, "leadership is lost")
            return
        }
        context.record(EventKind.ROLE_ORDERED, upstream = name, detail = "role=${change.role} fencing=${lease.fencing}")
        orders.order(change.engine, change.role, lease.fencing) { answer -> answered(name, change.role, answer) }
    }

    private fun answered(engine: UpstreamName, role: PoolRole, answer: OrderAnswer) {
        when (answer) {
            OrderAnswer.Accepted ->
                context.record(EventKind.ORDER_GIVEN, upstream = engine, detail = "role=$role accepted")
            is OrderAnswer.Refused -> {
                abandon(engine, "role=$role status ${answer.status}")
                if (answer.outdated) leadership.abandon()
            }
            is OrderAnswer.Unknown ->
                context.record(
                    EventKind.ORDER_REFUSED,
                    upstream = engine,
                    detail = "role=$role no answer: ${answer.detail}",
                )
        }
    }

    /** The change does not happen; the engine rests until its time is over, so that it is not tried at once again. */
    private fun abandon(engine: UpstreamName, detail: String) {
        context.record(EventKind.ORDER_REFUSED, upstream = engine, detail = detail)
        withdraw(engine)
    }

    /** Without leadership the announcement ends with its lease. */
    private fun withdraw(engine: UpstreamName) {
        if (leadership.inForce != null) orders.withdraw(engine)
    }

    private fun settle(now: Moment) {
        val done = pending.filter { (name, change) -> now >= change.until || shows(name, change.role) }.keys.toList()
        done.forEach { name ->
            pending.remove(name)
            withdraw(name)
        }
    }

    /** Whether engine [name] has [role], or is gone. */
    private fun shows(name: UpstreamName, role: PoolRole): Boolean {
        val member = context.membership[name]
        return member == null || member.role == role
    }

    private companion object {
        /** Entries watch the registry with short pauses; reservations granted before are used by then. */
        val ANNOUNCED: Duration = 500.milliseconds

        /** Upstreams that crash are often back by then. */
        val LASTING: Duration = 4.seconds

        /** An order whose answer was lost may be carried out this much later. */
        val LATE_ORDER: Duration = 13.seconds
    }
}
