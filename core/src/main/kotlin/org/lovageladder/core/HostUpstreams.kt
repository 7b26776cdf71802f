package org.lovageladder.core

/** An upstream of this host with the role of its pool. */
internal data class ServedUpstream(val upstream: ReleaseEntry.Upstream, val role: PoolRole)

/**
 * The upstreams on this companion's host as the release in force has them. The scheduler of an upstream that was
 * withdrawn or changed its role is retired: it finishes what it granted or started and accepts no new work.
 */
internal class HostUpstreams(private val context: CompanionContext, private val claims: ClaimedCalls) {
    private val servedUpstreams = LinkedHashMap<UpstreamName, ServedUpstream>()
    private val schedulers = LinkedHashMap<UpstreamName, UpstreamScheduler>()
    private val cleanups = LinkedHashMap<UpstreamName, OrphanCleanup>()
    private val retiredSchedulers = ArrayList<UpstreamScheduler>()
    private val orders = UpstreamOrders(context)

    /** Whether the calls of earlier incarnations are cancelled on every engine. */
    val areOrphansCancelled: Boolean get() = cleanups.values.all { it.isDone }
    val isIdle: Boolean get() = retiredSchedulers.isEmpty() && schedulers.values.all { it.isIdle }
    val reservationCount: Int get() = allSchedulers().sumOf { it.reservationCount }
    val runningCallCount: Int get() = allSchedulers().sumOf { it.runningCallCount }

    fun loads(): List<UpstreamLoad> = schedulers.values.map { it.load }

    fun find(upstream: UpstreamName): UpstreamScheduler? = schedulers[upstream]

    /** Whether [upstream] can accept work: no cleanup, retired scheduler or role change is pending there. */
    fun isUsable(upstream: UpstreamName): Boolean = cleanups[upstream]?.isDone != false &&
        retiredSchedulers.none { it.upstream.name == upstream } &&
        !orders.hasPendingRoleChange(upstream)

    /** Adds, changes and withdraws upstreams so that they match [state]. */
    fun applyRelease(state: ReleaseState) {
        val next = state.upstreams.values
            .filter { it.host == context.settings.host }
            .mapNotNull { upstream -> state.roleOf(upstream)?.let { ServedUpstream(upstream, it) } }
            .associateBy { it.upstream.name }
        (servedUpstreams.keys - next.keys).toList().forEach(::withdraw)
        next.values.forEach { addOrUpdate(it, state.version) }
    }

    /** Refuses all waiting attempts of every upstream. */
    fun refuseWaiting(fault: Fault) {
        for (scheduler in allSchedulers()) scheduler.refuseWaiting(fault)
    }

    fun onRunningListed(upstream: UpstreamName, requests: List<String>?) {
        cleanups[upstream]?.onRunningListed(requests)
    }

    fun onOrphanEnded(event: CompanionEvent.OrphanCancelEnded) {
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
        scheduler.refuseWaiting(
            Fault(Step.CHOOSE, name.text, FaultCause.LEAVING, "upstream withdrawn or its role changed"),
        )
        if (!scheduler.isIdle) retiredSchedulers.add(scheduler)
    }

    private fun newScheduler(next: ServedUpstream): UpstreamScheduler = when (next.role) {
        PoolRole.PREFILL -> PrefillScheduler(context, next.upstream)
        PoolRole.DECODE -> DecodeScheduler(context, next.upstream)
        PoolRole.PLAIN -> PlainScheduler(context, claims, next.upstream)
    }
}
