package org.lovageladder.core.forward.memory

import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.forward.customer.CustomerName
import org.lovageladder.core.forward.customer.RequestPriority
import org.lovageladder.core.forward.messaging.MemoryAsk
import java.util.PriorityQueue

/** A request of [entry] that waits at the coordinator. */
internal class WaitingAsk(
    val entry: ProcessName,
    val ask: MemoryAsk,
    val arrivedAt: Moment,
    val queuedAt: Moment,
    val deadline: Moment,
) {
    val priority: RequestPriority get() = RequestPriority(ask.customerPriority, ask.routePriority)

    /** Whether the coordinator decided to let it wait. */
    var isAdmitted = false

    /** Whether at least half of the time until its deadline has passed. */
    fun hasWaitedHalf(now: Moment): Boolean = now - queuedAt >= (deadline - queuedAt) / 2
}

/**
 * The order in which waiting requests get memory: the rest of streams that began, then by priority of customer and
 * route. Among customers of one priority the next request is one of the customer that holds the least, counting what
 * the requests ahead will hold; requests of one customer come by arrival. [heldBy] gives the tokens that a customer
 * holds.
 */
internal fun inServiceOrder(waiting: Collection<WaitingAsk>, heldBy: (CustomerName?) -> Int): List<WaitingAsk> {
    if (waiting.size <= 1) return waiting.toList()
    return waiting.groupBy { it.priority }
        .toSortedMap()
        .values
        .flatMap { byHeldTokens(it, heldBy) }
}

private fun byHeldTokens(asks: List<WaitingAsk>, heldBy: (CustomerName?) -> Int): List<WaitingAsk> {
    val ofCustomers = asks.groupBy { it.ask.customer }
    val next = PriorityQueue(compareBy<CustomerTurn>({ it.heldTokens }, { it.requests.first().arrivedAt }))
    ofCustomers.forEach { (customer, requests) ->
        next += CustomerTurn(heldBy(customer), ArrayDeque(requests.sortedBy { it.arrivedAt }))
    }
    val ordered = ArrayList<WaitingAsk>(asks.size)
    while (true) {
        val turn = next.poll() ?: return ordered
        val request = turn.requests.removeFirst()
        turn.heldTokens += request.ask.tokens
        ordered += request
        if (turn.requests.isNotEmpty()) next += turn
    }
}

private class CustomerTurn(var heldTokens: Int, val requests: ArrayDeque<WaitingAsk>)
