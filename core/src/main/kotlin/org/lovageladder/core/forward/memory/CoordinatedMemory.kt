package org.lovageladder.core.forward.memory

import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.PlaceName
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.Cancellable
import org.lovageladder.core.forward.EngineAnswer
import org.lovageladder.core.forward.EngineConfiguration
import org.lovageladder.core.forward.ForwardContext
import org.lovageladder.core.forward.RefusalReason
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.UpstreamRegistration
import org.lovageladder.core.forward.messaging.MAXIMUM_ENTRY_MESSAGE_BYTES
import org.lovageladder.core.forward.messaging.MemoryAnswer
import org.lovageladder.core.forward.messaging.MemoryAsk
import org.lovageladder.core.forward.messaging.MemoryCancel
import org.lovageladder.core.forward.messaging.MemoryDeclined
import org.lovageladder.core.forward.messaging.MemoryDemand
import org.lovageladder.core.forward.messaging.MemoryHolding
import org.lovageladder.core.forward.messaging.MemoryList
import org.lovageladder.core.forward.messaging.MemoryListReceived
import org.lovageladder.core.forward.messaging.MemoryNotCoordinated
import org.lovageladder.core.forward.messaging.MemoryOffer
import org.lovageladder.core.forward.messaging.MemoryQueued
import org.lovageladder.core.forward.messaging.MemoryRefused
import org.lovageladder.core.forward.messaging.MemoryReleased
import org.lovageladder.core.forward.messaging.MemoryTaken
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decode memory of one service at an entry that asks the [coordinator] which engine to use. The entry itself reserves
 * the memory there and tells the coordinator what came of it. Without a coordinator, while it does not answer, and for
 * requests that it leaves to the entry, the entry's own [MemoryQueue] decides. What this process asks for and holds is
 * numbered from [firstId] on, which differs from one start of a process to the next. Confined to one thread.
 */
internal class CoordinatedMemory(
    private val context: ForwardContext,
    private val service: ServiceName,
    private val place: PlaceName,
    private val engineConfiguration: () -> EngineConfiguration?,
    private val coordinator: () -> ProcessName?,
    private val send: (ProcessName, MemoryDemand) -> Unit,
    firstId: Long,
) : DecodeMemory {
    private class PendingAsk(
        val id: Long,
        val request: MemoryRequest,
        val avoided: Set<UpstreamName>,
        val expiresAt: Moment,
    ) {
        var sentAt: Moment? = null
        var isUnanswered = false
        var timer: Cancellable? = null

        /** The engine at which memory is being reserved. */
        var engine: UpstreamRegistration? = null
    }

    private class Holding(val held: MemoryHolding, val isFromQueue: Boolean)

    private val queue = MemoryQueue(context, service, engineConfiguration, ::onQueueGranted)
    private val asks = LinkedHashMap<Long, PendingAsk>()
    private val idsByRequest = HashMap<MemoryRequest, Long>()
    private val holdings = LinkedHashMap<MemoryGrant, Holding>()
    private var nextId = firstId
    private var current: ProcessName? = null

    /** When the first of the asks was sent since which the coordinator has not been heard of. */
    private var unansweredSince: Moment? = null
    private var pressureReportedAt: Moment? = null
    private var listTimer: Cancellable? = null

    /** Whether the coordinator does not answer, so that the own queue decides. */
    var hasFallenBack = false
        private set

    override val trackedEngines: Int get() = queue.trackedEngines

    override fun enqueue(request: MemoryRequest) {
        checkCoordinator()
        if (current == null || hasFallenBack) queue.enqueue(request) else ask(request, request.avoidedEngines)
    }

    override fun cancel(request: MemoryRequest) {
        request.isCancelled = true
        val ask = idsByRequest[request]?.let(asks::get) ?: return queue.cancel(request)
        // A call for a reservation is not taken back; its answer shows what there is to release.
        if (ask.engine != null) return
        remove(ask)
        sendToCoordinator(MemoryCancel(service, ask.id))
    }

    override fun onFreed(grant: MemoryGrant) {
        val holding = holdings.remove(grant)
        if (holding == null || holding.isFromQueue) queue.onFreed(grant) else queue.onFreedAt(grant.engine.name)
        if (holding != null) sendToCoordinator(MemoryReleased(service, holding.held.id))
    }

    /**
     * An engine that declines each decode always seems free, so that the coordinator would offer it to all entries. The
     * health of an engine is known only to the entry that made the call.
     */
    override fun onDeclined(grant: MemoryGrant) {
        val held = holdings[grant]?.held ?: return
        sendToCoordinator(MemoryDeclined(service, held.id, held.engine, isUnreachable = true))
    }

    override fun isUnderMemoryPressure(): Boolean {
        val isReported = pressureReportedAt?.let { context.now() - it < PRESSURE_REPORT_LIFETIME } ?: false
        return isReported || queue.isUnderMemoryPressure()
    }

    override fun state(): DecodeMemoryState {
        val ofQueue = queue.state()
        return ofQueue.copy(
            heldTokens = ofQueue.heldTokens + coordinatedTokens { true },
            waitingRequests = ofQueue.waitingRequests + asks.values.count { it.engine == null },
        )
    }

    override fun heldTokensAt(name: UpstreamName): Int = queue.heldTokensAt(name) + coordinatedTokens { it == name }

    override fun removeUnregistered(): Unit = queue.removeUnregistered()

    private fun coordinatedTokens(isCounted: (UpstreamName) -> Boolean): Int {
        val held = holdings.values.filter { !it.isFromQueue && isCounted(it.held.engine) }.sumOf { it.held.tokens }
        val reserving = asks.values.filter { it.engine?.name?.let(isCounted) ?: false }.sumOf { it.request.tokens }
        return held + reserving
    }

    /** Notices a change of the coordinator: the new one is told what this process holds and is asked at once. */
    fun checkCoordinator() {
        val owner = coordinator()
        if (owner == current) return
        val previous = current
        current = owner
        hasFallenBack = false
        unansweredSince = null
        context.record(EventKind.MEMORY_COORDINATOR_CHANGED, detail = "service=$service to=$owner before=$previous")
        val waiting = asks.values.filter { it.engine == null }
        if (previous != null) waiting.forEach { send(previous, MemoryCancel(service, it.id)) }
        if (owner == null) {
            listTimer?.cancel()
            listTimer = null
            waiting.forEach(::moveToQueue)
            return
        }
        sendList()
        waiting.forEach(::sendAsk)
    }

    private fun ask(request: MemoryRequest, avoided: Set<UpstreamName>) {
        val now = context.now()
        request.queuedAt = now
        val ask = PendingAsk(nextId++, request, avoided.toSet(), maxOf(request.grantDeadline, now + MESSAGE_TIME))
        asks[ask.id] = ask
        idsByRequest[request] = ask.id
        sendAsk(ask)
    }

    private fun sendAsk(ask: PendingAsk) {
        val now = context.now()
        val request = ask.request
        ask.sentAt = now
        ask.isUnanswered = true
        unansweredSince = unansweredSince ?: now
        sendToCoordinator(
            MemoryAsk(
                service = service,
                id = ask.id,
                tokens = request.tokens,
                remainingMs = (request.grantDeadline - now).inWholeMilliseconds.toInt(),
                ageMs = (now - request.arrivedAt).inWholeMilliseconds.toInt(),
                place = place,
                customerPriority = request.priority.customer,
                routePriority = request.priority.route,
                customer = request.customer,
                avoided = ask.avoided.take(MAXIMUM_AVOIDED),
            ),
        )
        ask.timer?.cancel()
        ask.timer = context.scheduler.schedule(RETRY_DELAY) { checkAsk(ask) }
    }

    private fun checkAsk(ask: PendingAsk) {
        if (asks[ask.id] !== ask || ask.engine != null) return
        val now = context.now()
        val repeatAt = (ask.sentAt ?: now) + if (ask.isUnanswered) RETRY_DELAY else RENEWAL_INTERVAL
        when {
            fallBackIfSilent() -> Unit
            now >= ask.expiresAt -> expire(ask)
            now >= repeatAt -> sendAsk(ask)
            else -> {
                val checkAt = minOf(repeatAt, ask.expiresAt)
                ask.timer = context.scheduler.schedule((checkAt - now).coerceAtLeast(MINIMUM_CHECK_DELAY)) {
                    checkAsk(ask)
                }
            }
        }
    }

    private fun expire(ask: PendingAsk) {
        remove(ask)
        sendToCoordinator(MemoryCancel(service, ask.id))
        ask.request.onRefused(RefusalReason.OVERLOADED, null)
    }

    /**
     * Lets the own queue decide while the coordinator is silent, until it answers anything. Silence counts over all
     * asks, since each request alone may expire before it has lasted long enough.
     */
    private fun fallBackIfSilent(): Boolean {
        val silentFor = context.now() - (unansweredSince ?: return false)
        if (hasFallenBack || silentFor < COORDINATOR_SILENCE) return false
        hasFallenBack = true
        val waiting = asks.values.filter { it.engine == null }
        val detail = "service=$service coordinator=$current silentMs=${silentFor.inWholeMilliseconds} " +
            "waiting=${waiting.size}"
        context.record(EventKind.MEMORY_COORDINATOR_SILENT, detail = detail)
        waiting.forEach(::moveToQueue)
        return true
    }

    private fun moveToQueue(ask: PendingAsk) {
        remove(ask)
        if (!ask.request.isCancelled) queue.enqueue(ask.request)
    }

    private fun remove(ask: PendingAsk) {
        ask.timer?.cancel()
        asks -= ask.id
        idsByRequest -= ask.request
    }

    /** Processes [message] of [sender]. */
    fun onMessage(sender: ProcessName, message: MemoryAnswer) {
        if (sender == current) recordHeard(message)
        when (message) {
            is MemoryOffer -> onOffer(sender, message)
            is MemoryQueued -> asks[message.id]?.isUnanswered = false
            is MemoryRefused -> waitingAsk(message.id)?.let {
                remove(it)
                it.request.onRefused(RefusalReason.OVERLOADED, message.retryAfterMs.milliseconds)
            }
            is MemoryNotCoordinated -> waitingAsk(message.id)?.let(::moveToQueue)
            is MemoryListReceived -> Unit
        }
    }

    private fun waitingAsk(id: Long) = asks[id]?.takeIf { it.engine == null }

    private fun recordHeard(message: MemoryAnswer) {
        unansweredSince = null
        pressureReportedAt = if (message.isUnderPressure) context.now() else null
        if (!hasFallenBack) return
        hasFallenBack = false
        context.record(EventKind.MEMORY_COORDINATOR_BACK, detail = "service=$service coordinator=$current")
    }

    private fun onOffer(sender: ProcessName, offer: MemoryOffer) {
        val ask = asks[offer.id]
        val held = holdings.values.firstOrNull { it.held.id == offer.id }?.held
        val engine = ask?.engine
        when {
            // The reaction to an earlier copy of this offer was lost.
            engine?.name == offer.engine -> send(sender, taken(ask, offer.engine))
            held?.engine == offer.engine -> send(sender, MemoryTaken(service, held))
            ask == null || engine != null -> send(sender, MemoryReleased(service, offer.id))
            else -> take(sender, ask, offer.engine)
        }
    }

    private fun taken(ask: PendingAsk, engine: UpstreamName) =
        MemoryTaken(service, MemoryHolding(ask.id, engine, ask.request.tokens, ask.request.customer))

    /** Reserves the offered memory, unless this process knows that the engine accepts no call of it now. */
    private fun take(sender: ProcessName, ask: PendingAsk, name: UpstreamName) {
        val engine = context.membership[name]
        if (engine == null || !isAdmitted(engine)) {
            send(sender, MemoryReleased(service, ask.id))
            moveToQueue(ask)
            return
        }
        ask.engine = engine
        ask.timer?.cancel()
        send(sender, taken(ask, name))
        val reservationTime = engineConfiguration()?.maximumReservationTime ?: DEFAULT_RESERVATION_TIME
        val requestedAt = context.now()
        context.upstreamPort.reserve(engine.incarnation, ask.request.tokens, reservationTime) { answer ->
            remove(ask)
            onReservationAnswer(ask, engine, requestedAt, answer)
        }
    }

    private fun isAdmitted(engine: UpstreamRegistration): Boolean {
        val now = context.now()
        return engine.role == PoolRole.DECODE &&
            context.notices.admits(engine.incarnation, now) &&
            context.requestLimits.admits(engine, now)
    }

    private fun onReservationAnswer(
        ask: PendingAsk,
        engine: UpstreamRegistration,
        requestedAt: Moment,
        answer: EngineAnswer<Reservation>,
    ) {
        val request = ask.request
        when (answer) {
            is EngineAnswer.Done -> {
                val grant = MemoryGrant(engine, request.tokens, answer.value, requestedAt)
                val held = MemoryHolding(ask.id, engine.name, request.tokens, request.customer)
                holdings[grant] = Holding(held, isFromQueue = false)
                if (request.isCancelled) {
                    context.release(grant)
                    onFreed(grant)
                } else {
                    request.onGranted(grant)
                }
            }
            is EngineAnswer.Refused -> {
                if (answer.isWrongInstance) context.removeReplaced(engine.name, request.id)
                decline(ask, engine, isUnreachable = answer.isWrongInstance)
            }
            is EngineAnswer.Failed -> {
                context.recordFailure(engine.name, request.id, "reserve", answer.failure)
                decline(ask, engine, isUnreachable = true)
            }
        }
    }

    /** Asks for another engine, if there is time for that. */
    private fun decline(ask: PendingAsk, engine: UpstreamRegistration, isUnreachable: Boolean) {
        sendToCoordinator(MemoryDeclined(service, ask.id, engine.name, isUnreachable))
        val request = ask.request
        when {
            request.isCancelled -> Unit
            context.now() >= ask.expiresAt -> request.onRefused(RefusalReason.OVERLOADED, null)
            current == null || hasFallenBack -> queue.enqueue(request)
            else -> ask(request, ask.avoided + engine.name)
        }
    }

    private fun onQueueGranted(request: MemoryRequest, grant: MemoryGrant) {
        val held = MemoryHolding(nextId++, grant.engine.name, grant.tokens, request.customer)
        holdings[grant] = Holding(held, isFromQueue = true)
        sendToCoordinator(MemoryTaken(service, held))
    }

    private fun sendToCoordinator(message: MemoryDemand) {
        current?.let { send(it, message) }
    }

    /** Sends what this process holds, now and once a second. */
    private fun sendList() {
        listTimer?.cancel()
        listTimer = context.scheduler.schedule(LIST_INTERVAL) {
            checkCoordinator()
            if (current != null) sendList()
        }
        val reserving = asks.values.mapNotNull { ask -> ask.engine?.let { taken(ask, it.name).holding } }
        listParts(service, holdings.values.map { it.held } + reserving).forEach(::sendToCoordinator)
    }

    private companion object {
        val RETRY_DELAY: Duration = 40.milliseconds

        /** A request that waits is asked for again, so that a coordinator that ended or forgot it is noticed. */
        val RENEWAL_INTERVAL: Duration = 150.milliseconds
        val COORDINATOR_SILENCE: Duration = 250.milliseconds
        val LIST_INTERVAL: Duration = 1.seconds

        /** An ask, its offer and one repetition of either take no longer. */
        val MESSAGE_TIME: Duration = 100.milliseconds
        val MINIMUM_CHECK_DELAY: Duration = 1.milliseconds

        /** The coordinator tells of memory pressure at least once a second. */
        val PRESSURE_REPORT_LIFETIME: Duration = 1_200.milliseconds
        val DEFAULT_RESERVATION_TIME: Duration = 1.seconds
        const val MAXIMUM_AVOIDED = 8
    }
}

/** [holdings] as lists that each fit into a message. Together they cover all ids. */
internal fun listParts(service: ServiceName, holdings: List<MemoryHolding>): List<MemoryList> {
    val parts = ArrayList<MemoryList>()
    var from = Long.MIN_VALUE
    var part = ArrayList<MemoryHolding>()
    var partBytes = 0
    holdings.sortedBy { it.id }.forEach { holding ->
        val bytes = HOLDING_BYTES + BYTES_PER_CHARACTER *
            (holding.engine.text.length + (holding.customer?.text?.length ?: 0))
        if (part.isNotEmpty() && partBytes + bytes > MAXIMUM_ENTRY_MESSAGE_BYTES - LIST_BYTES) {
            parts += MemoryList(service, from, part.last().id, part)
            from = part.last().id + 1
            part = ArrayList()
            partBytes = 0
        }
        part += holding
        partBytes += bytes
    }
    return parts + MemoryList(service, from, Long.MAX_VALUE, part)
}

/** Encoded size of a holding without its names, whose characters are of Latin script or take twice the room. */
private const val HOLDING_BYTES = 28
private const val BYTES_PER_CHARACTER = 2

/** Encoded size of a list without its holdings; the name of the service takes most of it. */
private const val LIST_BYTES = 300
