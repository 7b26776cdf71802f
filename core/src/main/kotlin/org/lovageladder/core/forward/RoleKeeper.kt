package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
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
    /** Orders [engine] to take on [role]; it refuses when it saw a fencing number above [fencing]. */
    public fun order(engine: Member, role: PoolRole, fencing: Long, answer: (OrderAnswer) -> Unit)
}

/**
 * Changes the roles of engines by the plan of their service, one engine at a time, while this process holds the seat.
 * After an order it waits until the registry shows the new role or the time for it has surely passed. Confined to one
 * thread.
 */
internal class RoleKeeper(
    private val context: ForwardContext,
    private val seat: OrderSeat,
    private val orders: RoleOrders,
) {
    private class Pending(val engine: UpstreamName, val role: PoolRole, val until: Moment)

    private var pending: Pending? = null

    /** Gives the next order for [service] if one is due. */
    fun keep(service: ServiceName, engine: EngineTraits, plan: RolePlan, work: (Member) -> Int) {
        val now = context.now()
        if (awaits(now)) return
        val fencing = seat.fencing ?: return
        val change = plan.nextChange(context.membership.serving(service, now), work) ?: return
        val name = change.engine.name
        pending = Pending(name, change.role, now + engine.roleChangeTime + LATE_ORDER)
        context.record(EventKind.ROLE_ORDERED, upstream = name, detail = "role=${change.role} fencing=$fencing")
        orders.order(change.engine, change.role, fencing) { answer -> answered(name, change.role, answer) }
    }

    private fun awaits(now: Moment): Boolean {
        val waiting = pending ?: return false
        val done = context.membership[waiting.engine].let { it == null || it.role == waiting.role }
        if (done || now >= waiting.until) pending = null
        return pending != null
    }

    private fun answered(engine: UpstreamName, role: PoolRole, answer: OrderAnswer) {
        when (answer) {
            OrderAnswer.Accepted ->
                context.record(EventKind.ORDER_GIVEN, upstream = engine, detail = "role=$role accepted")
            is OrderAnswer.Refused -> {
                context.record(
                    EventKind.ORDER_REFUSED,
                    upstream = engine,
                    detail = "role=$role status ${answer.status}",
                )
                if (answer.outdated) seat.abandon()
            }
            is OrderAnswer.Unknown ->
                context.record(
                    EventKind.ORDER_REFUSED,
                    upstream = engine,
                    detail = "role=$role no answer: ${answer.detail}",
                )
        }
    }

    private companion object {
        /** An order whose answer was lost may be carried out this much later. */
        val LATE_ORDER: Duration = 13.seconds
    }
}
