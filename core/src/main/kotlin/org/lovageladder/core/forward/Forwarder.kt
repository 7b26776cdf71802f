package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.PlaceName
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.capacity.CapacityEstimates
import org.lovageladder.core.forward.capacity.CapacityReporter
import org.lovageladder.core.forward.capacity.SpeedSharing
import org.lovageladder.core.forward.capacity.UpstreamPool
import org.lovageladder.core.forward.memory.MemoryCoordination
import org.lovageladder.core.forward.memory.MemoryCoordinationSettings
import org.lovageladder.core.forward.messaging.EntryMessage
import org.lovageladder.core.forward.messaging.EntryMessagePort
import org.lovageladder.core.forward.messaging.MemoryMessage
import org.lovageladder.core.forward.messaging.QuotaMessage
import org.lovageladder.core.forward.messaging.SpeedReport
import org.lovageladder.core.forward.quota.QuotaAdmission
import org.lovageladder.core.forward.quota.QuotaGate
import org.lovageladder.core.forward.quota.QuotaStatistics
import org.lovageladder.core.forward.quota.hasLimit
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Settings of a [Forwarder].
 *
 * [name] is the name under which this process registers, [place] its data centre. [retryLimits] bounds the retries of
 * all entries together.
 * [expectedEntryCount] is used until the number of entries is known, and [prefillShare], the part of an engine
 * service's work that is prefill, until enough requests were measured. An upstream that announced that it is leaving
 * gets no new requests after [drainBound]. Upstreams renew their registrations every [registrationInterval]. The
 * answer of a plain service may have [answerBytes] bytes. The bodies of the requests in flight to one upstream may have
 * [upstreamBodyBytes]. If it is to [learnCapacity], the process learns how fast each upstream is and chooses by that.
 * Experiments switch off the mechanisms in [without]. One entry coordinates the decode memory of a service where at
 * least [coordinateMemoryFrom] entries run, unless that is 0.
 */
public data class ForwarderSettings(
    val name: ProcessName,
    val place: PlaceName,
    val retryLimits: RetryLimits,
    val expectedEntryCount: Int = 1,
    val prefillShare: Double = 0.2,
    val drainBound: Duration = DEFAULT_DRAIN_BOUND,
    val registrationInterval: Duration = DEFAULT_REGISTRATION_INTERVAL,
    val answerBytes: Int = DEFAULT_ANSWER_BYTES,
    val upstreamBodyBytes: Int = DEFAULT_UPSTREAM_BODY_BYTES,
    val without: Set<Mechanism> = emptySet(),
    val learnCapacity: Boolean = false,
    val coordinateMemoryFrom: Int = 0,
)

private const val DEFAULT_ANSWER_BYTES = 1024 * 1024
private const val DEFAULT_UPSTREAM_BODY_BYTES = 8 * 1024 * 1024
private val DEFAULT_DRAIN_BOUND = Duration.parse("2s")

/** Handle of a request in progress. */
public fun interface RequestHandle {
    /** The caller disconnected. */
    public fun onCallerDisconnected()
}

/**
 * Forwards requests of callers directly to upstreams, according to the latest configuration and the registry of
 * upstreams. Confined to one thread.
 */
public class Forwarder(
    private val settings: ForwarderSettings,
    upstreamPort: UpstreamPort,
    private val scheduler: Scheduler,
    log: EventSink,
    random: Random = Random.Default,
    messages: EntryMessagePort = EntryMessagePort { _, _ -> },
) {
    private val membership = Membership(settings.registrationInterval)
    private val notices = UpstreamNotices(settings.drainBound)
    private val entryCounter = EntryCounter(settings.name, settings.expectedEntryCount)
    private val requestLimits = RequestLimits(entryCounter, membership, random)
    private val bodies = BodiesInFlight(settings.upstreamBodyBytes, log)
    private val upstreamSelector =
        UpstreamSelector(
            membership,
            notices,
            requestLimits,
            settings.place,
            random,
            settings.without,
            if (settings.learnCapacity) CapacityEstimates() else null,
            bodies,
        )
    private val retryBudget = RetryBudget(settings.retryLimits, entryCounter)
    private val promptGuard = PromptGuard(entryCounter, scheduler, log, random)
    private val answerBuffers = AnswerBufferPool(settings.answerBytes, settings.answerBytes * FULL_SIZE_ANSWERS)
    private val context =
        ForwardContext(
            BodyCountingUpstreamPort(LimitCountingUpstreamPort(upstreamPort, requestLimits, scheduler), bodies),
            scheduler,
            upstreamSelector,
            membership,
            notices,
            requestLimits,
            promptGuard,
            answerBuffers,
            retryBudget,
            log,
            random,
            settings.without,
            messages,
        )
    private val memory =
        MemoryCoordination(
            context,
            MemoryCoordinationSettings(settings.name, settings.place, settings.coordinateMemoryFrom),
            entryCounter,
        ) { configuration }
    private val streamEstimates = HashMap<ServiceName, StreamEstimates>()
    private var configuration: ForwardConfiguration? = null
    private var routes: RouteTable? = null
    private val openFlows = LinkedHashSet<ForwardFlow>()
    private val quotaGate = QuotaGate(settings.name, entryCounter, scheduler, messages, log, random)
    private val loggedLimits = HashMap<UpstreamName, Double>()
    private var leaderElection: LeaderElection? = null
    private var limitReporter: RequestLimitReporter? = null

    private val speedSharing = upstreamSelector.capacity?.let {
        SpeedSharing(settings.name, it, entryCounter, scheduler, messages, random)
    }

    /** Reports upstreams whose speed differs from that of their pool; null when capacities are not learned. */
    public val capacityReporter: CapacityReporter? =
        upstreamSelector.capacity?.let { CapacityReporter(it, scheduler, log) }

    /** Number of requests in progress. */
    public val openRequests: Int get() = openFlows.size

    /** Number of engines of which the memory queues keep state. */
    internal val trackedEngines: Int get() = memory.trackedEngines

    /** Services whose coordinator of decode memory does not answer. */
    public val silentMemoryCoordinators: Int get() = memory.silentCoordinators

    /** Requests of all entries that wait for decode memory at this process as a coordinator. */
    public val coordinatedRequests: Int get() = memory.waitingRequests

    /** Tokens of decode memory that all entries hold, of the services that this process coordinates. */
    public val coordinatedTokens: Int get() = memory.heldTokens

    /** Bytes of the bodies of requests in flight to upstreams. May be read on any thread. */
    public val bodyBytesInFlight: Long get() = bodies.heldBytes

    /** Number of upstreams that named a limit on their requests. */
    public val limitedUpstreams: Int get() = requestLimits.limitedUpstreams

    /** Number of prompt parts that are quarantined because they crash engines. */
    public val quarantinedPromptParts: Int get() = promptGuard.quarantinedParts

    /** Number of customers of the active configuration. */
    public val customers: Int get() = context.keyCheck.customerCount

    /** Number of requests that were refused for their key since this process started. */
    public val requestsRefusedForKey: Long get() = context.keyCheck.refusedRequests

    /** Number of accounts of customers that this entry keeps. */
    public val ownedQuotaAccounts: Int get() = quotaGate.ownedAccounts

    /** What was decided on the quotas of customers. */
    public val quotaStatistics: QuotaStatistics get() = quotaGate.statistics

    /** Version of the active configuration. */
    public val configurationVersion: ReleaseVersion get() = configuration?.version ?: ReleaseVersion.NONE

    /** Limits on callers' requests; null before the first configuration. */
    public val callerLimits: CallerLimits? get() = configuration?.callerLimits

    /** Whether requests can be forwarded. */
    public val isReady: Boolean get() = configuration != null && membership.isLoaded

    /** Whether the registry was read and does not list this entry. */
    public val isRegistrationMissing: Boolean get() = membership.isLoaded && entryCounter.isMissing

    /** Replaces the limits on retries. */
    public fun updateRetryLimits(newer: RetryLimits) {
        retryBudget.updateLimits(newer)
    }

    /** Activates [newer] unless the active configuration has the same or a later version. */
    public fun applyConfiguration(newer: ForwardConfiguration) {
        if (newer.version < configurationVersion) {
            context.record(
                EventKind.CONFIGURATION_OUTDATED,
                detail = "ignored ${newer.version}, active is $configurationVersion",
            )
            return
        }
        if (newer.version == configurationVersion) return
        configuration = newer
        routes = RouteTable(newer).also { context.keyCheck.update(newer, it) }
        quotaGate.applyCustomers(newer.customers)
        val names = newer.routes.mapTo(HashSet()) { it.name }
        streamEstimates.values.forEach { it.retainRoutes(names) }
        val detail = "version=${newer.version} routes=${newer.routes.size} services=${newer.services.size}"
        context.record(EventKind.CONFIGURATION_APPLIED, detail = detail)
        recordCustomers(newer)
        openFlows.toList().forEach { it.onKeysChanged() }
    }

    private fun recordCustomers(newer: ForwardConfiguration) {
        newer.leftOut.forEach { context.record(EventKind.CUSTOMER_LEFT_OUT, detail = "version=${newer.version} $it") }
        val customers = newer.customers ?: return
        val detail = "version=${newer.version} customers=${customers.customerCount} keys=${customers.keyCount}"
        context.record(EventKind.CUSTOMERS_APPLIED, detail = detail)
    }

    /** Applies a change of the registry. */
    public fun onRegistryChange(change: RegistryChange) {
        membership.apply(change, scheduler.now())
        if (change is RegistryChange.FullRead) {
            entryCounter.markAllMissing(scheduler.now())
            quotaGate.onEntriesChanged(mayBecomeOwner = true)
        }
        when (change) {
            is RegistryChange.Registered -> recordRegistration(change.registration)
            is RegistryChange.Removed ->
                context.record(EventKind.UPSTREAM_REGISTERED, upstream = change.name, detail = "registration removed")
            is RegistryChange.RoleChangeAnnounced -> recordRoleChange(change)
            is RegistryChange.LeaderChanged -> leaderElection?.onLeaderObserved(change.hasLeader)
            is RegistryChange.EntryRegistrationChanged -> onEntrySeen(change)
            is RegistryChange.RequestLimitReported -> onRequestLimitReported(change)
            is RegistryChange.PromptReported -> promptGuard.onReport(change.report)
            is RegistryChange.FullRead ->
                context.record(
                    EventKind.UPSTREAM_REGISTERED,
                    detail = "full read: ${change.registrations.size} upstreams",
                )
            is RegistryChange.Unavailable -> {
                context.keyCheck.isRegistryLost = true
                entryCounter.recordAvailability(isAvailable = false, scheduler.now())
                val detail = "the registry is unavailable; it last answered ${change.silentFor} ago"
                context.record(EventKind.STORE_LOST, detail = detail)
            }
            RegistryChange.Restored -> onRegistryRestored()
            is RegistryChange.Available -> {
                context.keyCheck.isRegistryLost = false
                entryCounter.recordAvailability(isAvailable = true, scheduler.now())
                val detail = "the registry is available again; it has answered for ${change.answeringFor}"
                context.record(EventKind.STORE_BACK, detail = detail)
            }
        }
        upstreamSelector.removeUnregistered()
        notices.removeExpired(scheduler.now()) { membership[it] != null }
        requestLimits.removeUnregistered(scheduler.now())
        promptGuard.removeExpired()
        memory.onRegistryChange()
    }

    /** Records what an answer of [incarnation] said about the requests that it accepts. */
    public fun onUpstreamNotice(incarnation: UpstreamIncarnation, notice: UpstreamNotice) {
        val now = scheduler.now()
        if (notices.recordNotice(incarnation, notice, now)) {
            val detail = if (notice.isLeaving) "leaving" else "asks for a pause of ${notice.pause}"
            context.record(EventKind.UPSTREAM_NOTICE, upstream = incarnation.name, detail = detail)
        }
        notice.requestLimit?.let { recordRequestLimit(incarnation.name, it) }
        if (notice.unreadablePart != null && notices.isUnreadableLogDue(incarnation.name, now)) {
            context.record(EventKind.NOTICE_UNREADABLE, upstream = incarnation.name, detail = notice.unreadablePart)
        }
    }

    /** Where the entry [name] receives messages of other entries; null when that is not known. */
    public fun messageAddressOf(name: ProcessName): Address? = entryCounter.messageAddressOf(name)

    /** Handles a [message] of the entry [sender]. */
    public fun onEntryMessage(sender: ProcessName, message: EntryMessage) {
        when (message) {
            is QuotaMessage -> quotaGate.onMessage(sender, message)
            is MemoryMessage -> memory.onMessage(sender, message)
            is SpeedReport -> speedSharing?.onReport(message) { name ->
                membership[name]?.let { UpstreamPool(it.service, it.role) }
            }
        }
    }

    /** Begins to report and share what is learned of the speeds of upstreams, if it is learned. */
    public fun startCapacityReports() {
        capacityReporter?.start()
        speedSharing?.start()
    }

    /** Begins to report the limits that upstreams name to the other entries through [port]. */
    public fun startLimitReports(port: RequestLimitReportPort) {
        limitReporter = RequestLimitReporter(requestLimits, entryCounter, scheduler, port)
    }

    /** Begins to report prompts that crash engines to the other entries through [port]. */
    public fun startPromptReports(port: PromptReportPort): Unit = promptGuard.startReports(port)

    /** Leases and reports of this process may be gone: it competes for leadership anew and reports again. */
    private fun onRegistryRestored() {
        context.record(EventKind.STORE_RESTORED, detail = "what was written since the copy is written again")
        leaderElection?.onRegistryRestored()
        limitReporter?.onRegistryRestored()
        promptGuard.onRegistryRestored()
    }

    private fun recordRequestLimit(name: UpstreamName, notice: RequestLimitNotice) {
        val now = scheduler.now()
        requestLimits.recordNotice(name, notice, now)
        val limit = requestLimits.limitOf(name, now)
        val before = if (limit == null) loggedLimits.remove(name) else loggedLimits.put(name, limit)
        if (limit == before) return
        val detail = "limit=${limit ?: "none"} before=${before ?: "none"} ${requestLimits.describeShare(name, now)}"
        context.record(EventKind.REQUEST_LIMIT_CHANGED, upstream = name, detail = detail)
        limitReporter?.onLimitChanged(name)
    }

    private fun onRequestLimitReported(change: RegistryChange.RequestLimitReported) {
        val now = scheduler.now()
        limitReporter?.recordReport(change.name, change.requestsPerSecond)
        requestLimits.recordReport(change.name, change.requestsPerSecond, now)
        val share = requestLimits.describeShare(change.name, now)
        val detail = "limit=${change.requestsPerSecond ?: "none"} $share"
        context.record(EventKind.REQUEST_LIMIT_REPORTED, upstream = change.name, detail = detail)
    }

    /** Begins to change the roles of engines through [roleOrderPort] while this process holds [leaderElection]. */
    public fun startRoleChanges(leaderElection: LeaderElection, roleOrderPort: RoleOrderPort) {
        if (Mechanism.ROLE_CHANGES in settings.without) return
        this.leaderElection = leaderElection
        leaderElection.start()
        checkRoles(RoleController(context, leaderElection, roleOrderPort))
    }

    private fun checkRoles(controller: RoleController) {
        if (context.drain != null) return
        configuration?.services?.values?.forEach { service ->
            val engine = service.engine ?: return@forEach
            val activeWorkOf = { upstream: UpstreamRegistration -> activeWork(service.name, upstream) }
            controller.startDueChange(service.name, engine, estimatesOf(service.name).rolePlan, activeWorkOf)
        }
        scheduler.schedule(ROLE_CHECK_INTERVAL) { checkRoles(controller) }
    }

    private fun activeWork(service: ServiceName, upstream: UpstreamRegistration): Int =
        memory.heldTokensAt(service, upstream.name) + upstreamSelector.health(upstream.name).inFlight

    /**
     * Begins to shut down; the process was told so at [toldAt] and will be terminated [gracePeriod] later. Requests are
     * accepted while they are certain to finish by then, and streams, which may last longer, only for a short time.
     * Returns when the requests that are still open then get their final answer. Later calls change nothing.
     */
    public fun drain(gracePeriod: Duration, toldAt: Moment = scheduler.now()): Moment {
        context.drain?.let { return it.finalDeadline }
        val drain = Drain(toldAt, gracePeriod)
        context.drain = drain
        scheduler.schedule((drain.finalDeadline - scheduler.now()).coerceAtLeast(Duration.ZERO)) { endOpenRequests() }
        return drain.finalDeadline
    }

    /**
     * Gives every open request its final answer. The newest come first: they usually are the ones that wait, and
     * memory which older ones release need not be reserved for them.
     */
    public fun endOpenRequests() {
        openFlows.reversed().forEach { it.onFinalDeadline() }
    }

    /** Forwards [request] and passes its outcome to [reply]. Returns null when the request was refused at once. */
    public fun forward(request: ForwardRequest, reply: CallerReply): RequestHandle? {
        val table = routes
        if (table == null || !membership.isLoaded) return refuse(request, reply, RefusalReason.NOT_READY)
        val route = table.find(request.host, request.target)
            ?: return refuse(request, reply, RefusalReason.NO_ROUTE)
        val keyRefusal = context.keyCheck.check(request, route) ?: return forward(request, route, reply)
        context.keyCheck.countRefusal()
        return refuse(request, reply, keyRefusal, "key=${if (request.key == null) "none" else "unknown"}")
    }

    private fun forward(request: ForwardRequest, route: Route, reply: CallerReply): RequestHandle? {
        val share = selectShare(route.serviceShares, context.random.nextDouble())
            ?: return refuse(request, reply, RefusalReason.NO_UPSTREAM)
        retryBudget.recordRequest(share.service, scheduler.now())
        val serviceConfiguration = configuration?.services?.get(share.service)
        if (context.drain?.mustRefuse(request, route, scheduler.now()) == true) {
            return refuse(request, reply, RefusalReason.LEAVING)
        }
        val destination =
            Destination(
                route,
                share.service,
                serviceConfiguration?.engine,
                connectionLimitPerUpstream(serviceConfiguration),
                serviceConfiguration?.healthPath.takeIf { serviceConfiguration?.engine == null },
            )
        return admit(request, destination, reply)
    }

    /** Starts the flow of [request] when it is within the quota of its customer, if that has one. */
    private fun admit(request: ForwardRequest, destination: Destination, reply: CallerReply): RequestHandle? {
        val customer = request.customer?.takeIf { it.hasLimit } ?: return startFlow(request, destination, reply)
        val start = { charged: CallerReply ->
            if (context.drain?.mustRefuse(request, destination.route, scheduler.now()) == true) {
                refuse(request, charged, RefusalReason.LEAVING)
            } else {
                startFlow(request, destination, charged)
            }
        }
        val admission = QuotaAdmission(quotaGate, request, customer, reply, openFlows, start) { reason, retryAfter ->
            refuse(request, reply, reason, "customer=${customer.name}", retryAfter)
        }
        admission.start()
        return if (admission.isRefused) null else RequestHandle { admission.onCallerDisconnected() }
    }

    private fun startFlow(request: ForwardRequest, destination: Destination, reply: CallerReply): RequestHandle {
        lateinit var flow: ForwardFlow
        flow = createFlow(request, destination, reply) { openFlows -= flow }
        openFlows += flow
        flow.start()
        return RequestHandle { flow.onCallerDisconnected() }
    }

    /**
     * Connections that this entry may have to each upstream of a service. Part of the limit is kept free for
     * connections that are about to close.
     */
    private fun connectionLimitPerUpstream(serviceConfiguration: ServiceConfiguration?): Int {
        val limit = serviceConfiguration?.maximumConnections ?: return Int.MAX_VALUE
        return (limit * USABLE_CONNECTION_FRACTION / entryCounter.count(scheduler.now())).toInt().coerceAtLeast(1)
    }

    private fun createFlow(
        request: ForwardRequest,
        destination: Destination,
        reply: CallerReply,
        onFinished: () -> Unit,
    ): ForwardFlow {
        if (destination.engine == null) return PlainFlow(context, request, destination, reply, onFinished)
        val service = destination.service
        return StreamFlow(
            context,
            request,
            destination,
            memory.memoryOf(service),
            estimatesOf(service),
            reply,
            onFinished,
        )
    }

    private fun estimatesOf(service: ServiceName) = streamEstimates.getOrPut(service) {
        StreamEstimates(RolePlan(settings.prefillShare), settings.without)
    }

    /** Refuses [request], for which [memory] has no room; only its head was received. */
    public fun refuse(request: ForwardRequest, reply: CallerReply, memory: RequestMemory) {
        val detail = "bytes=${memory.requestBytes} held=${memory.heldBytes} limit=${memory.maximumBytes}"
        refuse(request, reply, RefusalReason.MEMORY_FULL, detail)
    }

    private fun refuse(
        request: ForwardRequest,
        reply: CallerReply,
        reason: RefusalReason,
        inputs: String? = null,
        knownRetryAfter: Duration? = null,
    ): RequestHandle? {
        val callerTimeout = request.callerTimeout ?: DEFAULT_CALLER_TIMEOUT
        val minimum = if (reason == RefusalReason.LEAVING) Duration.ZERO else MINIMUM_RETURN_DELAY
        val retryAfter = knownRetryAfter ?: if (reason.isNotRun) context.returnDelay(minimum, callerTimeout) else null
        context.record(
            EventKind.REQUEST_ENDED,
            request.id,
            detail = listOfNotNull("refused: $reason ${request.host}${request.target}", inputs).joinToString(" "),
        )
        reply.refuse(Refusal(reason, retryAfter))
        return null
    }

    private fun recordRegistration(registration: UpstreamRegistration) {
        val state = if (registration.isLeaving) "leaving" else "serving"
        val detail = "$state service=${registration.service} role=${registration.role} at ${registration.address}"
        context.record(EventKind.UPSTREAM_REGISTERED, upstream = registration.name, detail = detail)
    }

    private fun onEntrySeen(change: RegistryChange.EntryRegistrationChanged) {
        val now = scheduler.now()
        val before = entryCounter.count(now)
        entryCounter.recordRegistration(change.name, change.isRegistered, now, change.messageAddress)
        quotaGate.onEntriesChanged(mayBecomeOwner = !change.isRegistered || change.name == settings.name)
        val count = entryCounter.count(now)
        if (count == before) return
        context.record(
            EventKind.ENTRY_REGISTERED,
            detail = "entries=$count after a change of ${change.name}, before $before",
        )
    }

    private fun recordRoleChange(change: RegistryChange.RoleChangeAnnounced) {
        val detail = if (change.isAnnounced) "gets no requests while its role changes" else "its role change has ended"
        context.record(EventKind.UPSTREAM_REGISTERED, upstream = change.name, detail = detail)
    }

    private companion object {
        const val USABLE_CONNECTION_FRACTION = 0.8

        /** Total answer memory, as a number of answers of the maximum size. */
        const val FULL_SIZE_ANSWERS = 12
        val ROLE_CHECK_INTERVAL = Duration.parse("250ms")
        val MINIMUM_RETURN_DELAY = Duration.parse("200ms")
        val DEFAULT_CALLER_TIMEOUT = Duration.parse("10s")
    }
}
