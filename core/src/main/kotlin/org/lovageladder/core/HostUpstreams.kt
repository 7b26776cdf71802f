package org.lovageladder.core

/** An upstream of this host with the role of its pool. */
internal data class ServedUpstream(val upstream: ReleaseEntry.Upstream, val role: PoolRole)

/**
 * The upstreams on this companion's host, kept in step with the release. Work of a withdrawn upstream, or of one that
 * changed its role, is kept apart until it ends.
 */
internal class HostUpstreams(private val context: CompanionContext, private val claims: ClaimedCalls) {
    private val servedUpstreams = LinkedHashMap<UpstreamName, ServedUpstream>()
    private val schedulers = LinkedHashMap<UpstreamName, UpstreamScheduler>()
    private val cleanups = LinkedHashMap<UpstreamName, OrphanCleanup>()
    private val retiredSchedulers = ArrayList<UpstreamScheduler>()
    private val orders = UpstreamOrders(context)

    /** Whether every engine was cleared of what an earlier incarnation left. */
    val areOrphansCancelled: Boolean get() = cleanups.values.all { it.isDone }
    val isIdle: Boolean get() = retiredSchedulers.isEmpty() && schedulers.values.all { it.isIdle }
    val reservationCount: Int get() = allSchedulers().sumOf { it.reservationCount }
    val runningCallCount: Int get() = allSchedulers().sumOf { it.runningCallCount }

    fun loads(): List<UpstreamLoad> = schedulers.values.map { it.load }

    fun find(upstream: UpstreamName): UpstreamScheduler? = schedulers[upstream]

    /** Whether [upstream] may be given work as far as its own state goes. */
    fun isUsable(upstream: UpstreamName): Boolean = cleanups[upstream]?.isDone != false &&
        retiredSchedulers.none { it.upstream.name == upstream } &&
        !orders.hasPendingRoleChange(upstream)

    /** Brings the upstreams in step with [state]. */
    fun applyRelease(state: ReleaseState) {
        val next = state.upstreams.values
            .filter { it.host == context.settings.host }
            .mapNotNull { upstream -> state.roleOf(upstream)?.let { ServedUpstream(upstream, it) } }
            .associateBy { it.upstream.name }
        (servedUpstreams.keys - next.keys).toList().forEach(::withdraw)
        next.values.forEach { addOrUpdate(it, state.version) }
    }

    /** Refuses all that waits for any upstream. */
    fun refuseWaiting(fault: Fault) {
        for (scheduler in allSchedulers()) scheduler.refuseWaiting(fault)
    }

    fun onRunningListed(upstream: UpstreamName, requests: List<String>?) {
        cleanups[upstream]?.onRunningListed(requests)
    }

    fun onOrphanEnded(event: CompanionEvent.OrphanEnded) {
        cleanups[event.upstream]?.onCancelEnded(event.requestName, event.confirmed)
    }

    fun onOrderEnded(event: CompanionEvent.OrderEnded) = orders.onOrderEnded(event)

    fun advance(mayStart: Boolean) {
        cleanups.values.forEach { it.advance() }
        for ((name, scheduler) in schedulers) scheduler.advance(mayStart && isUsable(name))
        retiredSchedulers.forEach { it.advance(mayStart = false) }
        retiredSchedulers.removeAll { it.isIdle }
        orders.advance { name -> retiredSchedulers.none { it.upstream.name == name } }
    }

    fun nextDeadline(): Moment? = context.earliest(
        allSchedulers().map { it.nextDeadline() } + cleanups.values.map { it.nextDeadline() } + orders.nextDeadline(),
    )

    private fun allSchedulers(): List<UpstreamScheduler> = schedulers.values + retiredSchedulers

    private fun addOrUpdate(next: ServedUpstream, version: ReleaseVersion) {
        val name = next.upstream.name
        val old = servedUpstreams[name]
        if (old == next) return
        servedUpstreams[name] = next
        orders.enqueueChanges(old, next, version)
        if (old != null && old.role == next.role) {
            schedulers.getValue(name).upstream = next.upstream
            return
        }
        if (old != null) retire(name)
        schedulers[name] = newScheduler(next)
        if (next.role != PoolRole.PLAIN && name !in cleanups) cleanups[name] = OrphanCleanup(context, next.upstream)
    }

    private fun withdraw(name: UpstreamName) {
        servedUpstreams.remove(name)
        cleanups.remove(name)
        orders.remove(name)
        retire(name)
    }

    private fun retire(name: UpstreamName) {
        val scheduler = schedulers.remove(name) ?: return
        scheduler.refuseWaiting(Fault(Step.CHOOSE, name.text, FaultCause.LEAVING, "upstream withdrawn or changed"))
        if (!scheduler.isIdle) retiredSchedulers.add(scheduler)
    }

    private fun newScheduler(next: ServedUpstream): UpstreamScheduler = when (next.role) {
        PoolRole.PREFILL -> PrefillScheduler(context, next.upstream)
        PoolRole.DECODE -> DecodeScheduler(context, next.upstream)
        PoolRole.PLAIN -> PlainScheduler(context, claims, next.upstream)
    }
}
