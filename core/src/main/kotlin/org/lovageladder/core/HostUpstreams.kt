package org.lovageladder.core

/** An upstream of this host with the role of its pool. */
internal data class ServedUpstream(val upstream: ReleaseEntry.Upstream, val role: PoolRole)

/**
 * The upstreams on this companion's host, kept in step with the release. Work of a withdrawn upstream, or of one that
 * changed its role, is kept apart until it ends.
 */
internal class HostUpstreams(private val context: CompanionContext, private val claims: ClaimedCalls) {
    private val served = LinkedHashMap<UpstreamName, ServedUpstream>()
    private val works = LinkedHashMap<UpstreamName, UpstreamWork>()
    private val sweeps = LinkedHashMap<UpstreamName, OrphanSweep>()
    private val retired = ArrayList<UpstreamWork>()
    private val orders = UpstreamOrders(context)

    /** Whether every engine was cleared of what an earlier incarnation left. */
    val isSwept: Boolean get() = sweeps.values.all { it.isDone }
    val isIdle: Boolean get() = retired.isEmpty() && works.values.all { it.idle }
    val reservations: Int get() = all().sumOf { it.reservations }
    val runningCalls: Int get() = all().sumOf { it.runningCalls }

    fun loads(): List<UpstreamLoad> = works.values.map { it.load }

    fun find(upstream: UpstreamName): UpstreamWork? = works[upstream]

    /** Whether [upstream] may be given work as far as its own state goes. */
    fun isUsable(upstream: UpstreamName): Boolean = sweeps[upstream]?.isDone != false &&
        retired.none { it.upstream.name == upstream } &&
        !orders.awaitsRole(upstream)

    /** Brings the upstreams in step with [state]. */
    fun follow(state: ReleaseState) {
        val next = state.upstreams.values
            .filter { it.host == context.settings.host }
            .mapNotNull { upstream -> state.roleOf(upstream)?.let { ServedUpstream(upstream, it) } }
            .associateBy { it.upstream.name }
        (served.keys - next.keys).toList().forEach(::withdraw)
        next.values.forEach { serve(it, state.version) }
    }

    /** Refuses all that waits for any upstream. */
    fun refuseWaiting(fault: Fault) {
        for (work in all()) work.refuseWaiting(fault)
    }

    fun listed(upstream: UpstreamName, requests: List<String>?) {
        sweeps[upstream]?.listed(requests)
    }

    fun orphanEnded(event: CompanionEvent.OrphanEnded) {
        sweeps[event.upstream]?.orphanEnded(event.requestName, event.confirmed)
    }

    fun orderEnded(event: CompanionEvent.OrderEnded) = orders.ended(event)

    fun advance(mayStart: Boolean) {
        sweeps.values.forEach { it.advance() }
        for ((name, work) in works) work.advance(mayStart && isUsable(name))
        retired.forEach { it.advance(mayStart = false) }
        retired.removeAll { it.idle }
        orders.advance { name -> retired.none { it.upstream.name == name } }
    }

    fun nextDeadline(): Moment? = context.earliest(
        all().map { it.nextDeadline() } + sweeps.values.map { it.nextDeadline() } + orders.nextDeadline(),
    )

    private fun all(): List<UpstreamWork> = works.values + retired

    private fun serve(next: ServedUpstream, version: ReleaseVersion) {
        val name = next.upstream.name
        val old = served[name]
        if (old == next) return
        served[name] = next
        orders.changed(old, next, version)
        if (old != null && old.role == next.role) {
            works.getValue(name).upstream = next.upstream
            return
        }
        if (old != null) retire(name)
        works[name] = newWork(next)
        if (next.role != PoolRole.PLAIN && name !in sweeps) sweeps[name] = OrphanSweep(context, next.upstream)
    }

    private fun withdraw(name: UpstreamName) {
        served.remove(name)
        sweeps.remove(name)
        orders.withdrawn(name)
        retire(name)
    }

    private fun retire(name: UpstreamName) {
        val work = works.remove(name) ?: return
        work.refuseWaiting(Fault(Step.CHOOSE, name.text, FaultCause.LEAVING, "upstream withdrawn or changed"))
        if (!work.idle) retired.add(work)
    }

    private fun newWork(next: ServedUpstream): UpstreamWork = when (next.role) {
        PoolRole.PREFILL -> PrefillWork(context, next.upstream)
        PoolRole.DECODE -> DecodeWork(context, next.upstream)
        PoolRole.PLAIN -> PlainWork(context, claims, next.upstream)
    }
}
