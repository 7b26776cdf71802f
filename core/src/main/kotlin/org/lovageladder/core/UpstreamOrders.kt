package org.lovageladder.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Orders to the upstreams of this host, one at a time for each upstream. The fencing number of an order is the release
 * version that requires it. A failed order is retried unless a newer order replaced it or the upstream refused its
 * fencing number.
 */
internal class UpstreamOrders(private val context: CompanionContext) {
    private val queues = HashMap<UpstreamName, OrderQueue>()

    val isEmpty: Boolean get() = queues.isEmpty()

    /** Queues the orders that turn [old] into [new]; [old] is null for an upstream that was not served before. */
    fun enqueueChanges(old: ServedUpstream?, new: ServedUpstream, version: ReleaseVersion) {
        val before = old?.upstream?.adapters.orEmpty()
        val after = new.upstream.adapters
        val orders = buildList {
            if (old != null && old.role != new.role) add(UpstreamOrder.ChangeRole(new.role))
            (before - after.toSet()).forEach { add(UpstreamOrder.UnloadAdapter(it)) }
            (after - before.toSet()).forEach { add(UpstreamOrder.LoadAdapter(it)) }
        }
        val queue = if (orders.isEmpty()) {
            queues[new.upstream.name]
        } else {
            queues.getOrPut(new.upstream.name) {
                OrderQueue(new.upstream)
            }
        }
        queue?.upstream = new.upstream
        for (order in orders) queue?.add(PendingOrder(order, version.number))
    }

    fun remove(upstream: UpstreamName) {
        queues.remove(upstream)
    }

    /** Whether an order to change the role of the upstream is pending. */
    fun hasPendingRoleChange(upstream: UpstreamName): Boolean =
        queues[upstream]?.all().orEmpty().any { it.order is UpstreamOrder.ChangeRole }

    fun onOrderEnded(event: CompanionEvent.OrderEnded) {
        val queue = queues[event.upstream] ?: return
        val current = queue.current ?: return
        if (current.order != event.order || current.fencing != event.fencing) return
        queue.current = null
        val fault = event.fault
        if (fault == null) {
            queue.backoff = INITIAL_BACKOFF
            record(EventKind.ORDER_GIVEN, event, event.order.toString())
        } else {
            record(EventKind.ORDER_REFUSED, event, "${event.order}: $fault")
            if (fault.cause != FaultCause.FENCED) queue.scheduleRetry(current)
        }
        if (queue.isEmpty) queues.remove(event.upstream)
    }

    /**
     * Sends the next order to each upstream. A role change waits until [isIdle] reports that the work in the old role
     * has ended.
     */
    fun advance(isIdle: (UpstreamName) -> Boolean) {
        val readyQueues = queues.values.filter { it.current == null && it.retryAt <= context.now }
        for (queue in readyQueues) {
            val next = queue.first()
            val mustWait = next?.order is UpstreamOrder.ChangeRole && !isIdle(queue.upstream.name)
            if (next == null || mustWait) continue
            queue.removeFirst()
            queue.current = next
            context.output.add(CompanionEffect.SendOrder(queue.upstream, next.order, next.fencing))
        }
    }

    fun nextDeadline(): Moment? =
        queues.values.filter { it.current == null && it.retryAt > context.now }.minOfOrNull { it.retryAt }

    private fun record(kind: EventKind, event: CompanionEvent.OrderEnded, detail: String) {
        context.output.record(kind, upstream = event.upstream, note = ReleaseVersion(event.fencing), detail = detail)
    }

    private data class PendingOrder(val order: UpstreamOrder, val fencing: Long) {
        fun supersedes(other: PendingOrder): Boolean =
            fencing >= other.fencing && adapterOf(order) == adapterOf(other.order)

        /** Adapter that an order concerns; null for a role change. */
        private fun adapterOf(order: UpstreamOrder): ModelName? = when (order) {
            is UpstreamOrder.LoadAdapter -> order.adapter
            is UpstreamOrder.UnloadAdapter -> order.adapter
            is UpstreamOrder.ChangeRole -> null
        }
    }

    private inner class OrderQueue(var upstream: ReleaseEntry.Upstream) {
        private val waiting = ArrayDeque<PendingOrder>()
        var current: PendingOrder? = null
        var retryAt: Moment = Moment(Long.MIN_VALUE)
        var backoff: Duration = INITIAL_BACKOFF

        val isEmpty: Boolean get() = waiting.isEmpty() && current == null

        fun all(): List<PendingOrder> = listOfNotNull(current) + waiting

        fun first(): PendingOrder? = waiting.firstOrNull()

        fun removeFirst() {
            waiting.removeFirst()
        }

        fun add(order: PendingOrder) {
            waiting.removeAll { order.supersedes(it) }
            waiting.addLast(order)
        }

        fun scheduleRetry(order: PendingOrder) {
            retryAt = context.now + backoff
            backoff = (backoff * 2).coerceAtMost(MAXIMUM_BACKOFF)
            if (waiting.none { it.supersedes(order) }) waiting.addFirst(order)
        }
    }

    private companion object {
        val INITIAL_BACKOFF: Duration = 200.milliseconds
        val MAXIMUM_BACKOFF: Duration = 30.seconds
    }
}
