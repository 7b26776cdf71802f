package org.lovageladder.core.forward

import org.lovageladder.core.EventKind
import org.lovageladder.core.PlaceName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.ServiceName
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Settings of a [Forwarder]: its [place], the budget for repeats of all entries, the number of entries until they are
 * known, and the part of the work of a service's engines that is prefill until its requests tell more. An upstream that
 * says that it is leaving gets nothing new after [drainBound]. A plain answer may have [answerBytes]. Experiments do
 * [without] some mechanisms.
 */
public data class ForwarderSettings(
    val place: PlaceName,
    val retries: RetryLimits,
    val expectedEntries: Int = 1,
    val prefillShare: Double = 0.2,
    val drainBound: Duration = DRAIN_BOUND,
    val answerBytes: Int = ANSWER_BYTES,
    val without: Set<Mechanism> = emptySet(),
)

private const val ANSWER_BYTES = 1024 * 1024
private val DRAIN_BOUND = Duration.parse("2s")

/** Handle of a request that a [Forwarder] took. */
public fun interface OpenRequest {
    /** The caller is gone. */
    public fun callerLeft()
}

/**
 * Forwards callers' requests straight to upstreams, by the newest configuration and the registry of upstreams that
 * were given to it. Confined to one thread.
 */
public class Forwarder(
    private val settings: ForwarderSettings,
    calls: UpstreamCalls,
    private val scheduler: Scheduler,
    log: EventSink,
    random: Random = Random.Default,
) {
    private val membership = Membership()
    private val notices = UpstreamNotices(settings.drainBound)
    private val board = UpstreamBoard(membership, notices, settings.place, random, settings.without)
    private val census = EntryCensus(settings.expectedEntries)
    private val budget = RetryBudget(settings.retries) { census.count(scheduler.now()) }
    private val answers = AnswerBuffers(settings.answerBytes, settings.answerBytes * ANSWERS_HELD)
    private val context =
        ForwardContext(calls, scheduler, board, membership, notices, answers, budget, log, random, settings.without)
    private val queues = HashMap<ServiceName, MemoryQueue>()
    private val paces = HashMap<ServiceName, StreamPace>()
    private var configuration: Configuration? = null
    private var routes: RouteTable? = null
    private var drain: Drain? = null
    private var leadership: Leadership? = null

    /** Requests that are not finished. */
    public var open: Int = 0
        private set

    /** Engines of which the queues for memory remember something. */
    internal val enginesRemembered: Int get() = queues.values.sumOf { it.remembered }

    /** Version of the configuration in force. */
    public val version: ReleaseVersion get() = configuration?.version ?: ReleaseVersion.NONE

    /** Limits on what callers send; null before there is a configuration. */
    public val limits: CallerLimits? get() = configuration?.limits

    /** Whether requests can be forwarded. */
    public val ready: Boolean get() = configuration != null && membership.known

    /** Puts a newer budget for repeats into force. */
    public fun limitRetries(newer: RetryLimits) {
        budget.limit(newer)
    }

    /** Puts [newer] into force unless a later version is. */
    public fun configure(newer: Configuration) {
        if (newer.version < version) {
            context.record(EventKind.CONFIGURATION_OUTDATED, detail = "got ${newer.version}, in force is $version")
            return
        }
        if (newer.version == version) return
        configuration = newer
        routes = RouteTable(newer)
        val names = newer.routes.mapTo(HashSet()) { it.name }
        paces.values.forEach { it.forgetRoutes(names) }
        val detail = "version=${newer.version} routes=${newer.routes.size} services=${newer.services.size}"
        context.record(EventKind.CONFIGURATION_APPLIED, detail = detail)
    }

    /** Takes in what the registry of upstreams told. */
    public fun registryChanged(change: RegistryChange) {
        membership.apply(change, scheduler.now())
        if (change is RegistryChange.ReadWhole) census.readAnew(scheduler.now())
        when (change) {
            is RegistryChange.Written -> recordMember(change.member)
            is RegistryChange.Removed ->
                context.record(EventKind.UPSTREAM_REGISTERED, upstream = change.name, detail = "entry removed")
            is RegistryChange.RoleChanging -> recordRoleChange(change)
            is RegistryChange.LeaderSeen -> leadership?.observed(change.held)
            is RegistryChange.EntrySeen -> entrySeen(change)
            is RegistryChange.ReadWhole ->
                context.record(EventKind.UPSTREAM_REGISTERED, detail = "read whole: ${change.members.size} upstreams")
            RegistryChange.Lost -> context.record(EventKind.STORE_LOST, detail = "no answer from the registry")
            RegistryChange.Regained -> context.record(EventKind.STORE_BACK, detail = "the registry answers")
        }
        board.forgetMissing()
        notices.forget(scheduler.now()) { membership[it] != null }
        queues.values.forEach { it.forgetMissing() }
    }

    /** Takes in what an answer of [start] said of the requests that it wants. */
    public fun noticed(start: UpstreamStart, notice: UpstreamNotice) {
        val now = scheduler.now()
        if (notices.noted(start, notice, now)) {
            val wish = if (notice.leaving) "leaving" else "wants nothing for ${notice.pause}"
            context.record(EventKind.UPSTREAM_NOTICE, upstream = start.name, detail = wish)
        }
        if (notice.unreadable != null && notices.complains(start.name, now)) {
            context.record(EventKind.NOTICE_UNREADABLE, upstream = start.name, detail = notice.unreadable)
        }
    }

    /** Gives orders about the roles of engines through [orders] while this process leads by [leadership]. */
    public fun keepRoles(leadership: Leadership, orders: RoleOrders) {
        if (Mechanism.ROLE_CHANGES in settings.without) return
        this.leadership = leadership
        leadership.start()
        keepRoles(RoleKeeper(context, leadership, orders))
    }

    private fun keepRoles(keeper: RoleKeeper) {
        if (drain != null) return
        configuration?.services?.values?.forEach { service ->
            val engine = service.engine ?: return@forEach
            val work = { member: Member -> workAt(service.name, member) }
            keeper.keep(service.name, engine, paceOf(service.name).roles, work)
        }
        scheduler.after(ROLE_CHECK) { keepRoles(keeper) }
    }

    private fun workAt(service: ServiceName, member: Member): Int =
        (queues[service]?.heldAt(member.name) ?: 0) + board.health(member.name).inFlight

    /**
     * This process will be ended after [grace]. It takes requests that are surely finished by then, and streams, which
     * may last longer, for a short while only.
     */
    public fun drain(grace: Duration) {
        drain = Drain(scheduler.now(), grace)
    }

    /** Forwards [request]; its outcome goes to [reply]. Null when it was answered at once. */
    public fun forward(request: ForwardRequest, reply: CallerReply): OpenRequest? {
        val table = routes
        if (table == null || !membership.known) return refuse(request, reply, RefusalReason.NOT_READY)
        val route = table.find(request.host, request.target)
            ?: return refuse(request, reply, RefusalReason.NO_ROUTE)
        val share = drawShare(route.shares, context.random.nextDouble())
            ?: return refuse(request, reply, RefusalReason.NO_UPSTREAM)
        budget.requestArrived(share.service, scheduler.now())
        val traits = configuration?.services?.get(share.service)
        if (drain?.refuses(request, route, scheduler.now()) == true) {
            return refuse(request, reply, RefusalReason.LEAVING)
        }
        val destination = Destination(route, share.service, traits?.engine, connectionShare(traits))
        val flow = flowOf(request, destination, reply)
        open += 1
        flow.start()
        return OpenRequest { flow.callerLeft() }
    }

    /** Connections to each upstream of a service that this entry may have; some are left for those about to close. */
    private fun connectionShare(traits: ServiceTraits?): Int {
        val limit = traits?.connectionLimit ?: return Int.MAX_VALUE
        return (limit * CONNECTIONS_USED / census.count(scheduler.now())).toInt().coerceAtLeast(1)
    }

    private fun flowOf(request: ForwardRequest, destination: Destination, reply: CallerReply): ForwardFlow {
        val ended = { open -= 1 }
        if (destination.engine == null) return PlainFlow(context, request, destination, reply, ended)
        val service = destination.service
        val queue = queues.getOrPut(service) { MemoryQueue(context, service) { engineOf(service) } }
        return StreamFlow(context, request, destination, queue, paceOf(service), reply, ended)
    }

    private fun paceOf(service: ServiceName) = paces.getOrPut(service) {
        StreamPace(RolePlan(settings.prefillShare), settings.without)
    }

    private fun engineOf(service: ServiceName) = configuration?.services?.get(service)?.engine

    private fun refuse(request: ForwardRequest, reply: CallerReply, reason: RefusalReason): OpenRequest? {
        val wait = request.wait ?: DEFAULT_WAIT
        val least = if (reason == RefusalReason.LEAVING) Duration.ZERO else RETURN_AFTER
        val returnAfter = if (reason.notRun) context.returnAfter(least, wait) else null
        context.record(
            EventKind.REQUEST_ENDED,
            request.id,
            detail = "refused: $reason ${request.host}${request.target}",
        )
        reply.refuse(Refusal(reason, returnAfter))
        return null
    }

    private fun recordMember(member: Member) {
        val state = if (member.leaving) "leaving" else "serving"
        val detail = "$state service=${member.service} role=${member.role} at ${member.address}"
        context.record(EventKind.UPSTREAM_REGISTERED, upstream = member.name, detail = detail)
    }

    private fun entrySeen(change: RegistryChange.EntrySeen) {
        val now = scheduler.now()
        val before = census.count(now)
        census.seen(change.name, change.registered, now)
        val count = census.count(now)
        if (count == before) return
        context.record(EventKind.ENTRY_REGISTERED, detail = "entries=$count with ${change.name}, $before before")
    }

    private fun recordRoleChange(change: RegistryChange.RoleChanging) {
        val detail = if (change.changing) "left out while its role changes" else "its role does not change"
        context.record(EventKind.UPSTREAM_REGISTERED, upstream = change.name, detail = detail)
    }

    private companion object {
        const val CONNECTIONS_USED = 0.8

        /** Answers of the largest size for which there is memory at once. */
        const val ANSWERS_HELD = 12
        val ROLE_CHECK = Duration.parse("250ms")
        val RETURN_AFTER = Duration.parse("200ms")
        val DEFAULT_WAIT = Duration.parse("10s")
    }
}
