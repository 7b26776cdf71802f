package org.lovageladder.core.forward.memory

import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.Cancellable
import org.lovageladder.core.forward.EngineConfiguration
import org.lovageladder.core.forward.ForwardContext
import org.lovageladder.core.forward.UpstreamRegistration
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

/** How slow an upstream is, and the share of its memory that it takes without slowing down; 1 for a usual one. */
internal class UpstreamCapacity(
    val costFactor: (UpstreamName) -> Double = { 1.0 },
    val usableShare: (UpstreamName) -> Double = { 1.0 },
)

/**
 * The only queue for the decode memory of one service, at the entry that owns it. It offers each waiting request an
 * engine with room by its ledger; the entry then reserves the memory there. A request that cannot be served in time, at
 * the rate at which memory is freed, is refused at once.
 *
 * [send] must return before an answer to what it sends comes back.
 *
 * Load pattern: a load peak at thirty entries with more prompts than decode memory holds, for some seconds. Confined to
 * one thread.
 */
internal class MemoryCoordinator(
    private val context: ForwardContext,
    private val service: ServiceName,
    private val engineConfiguration: () -> EngineConfiguration?,
    private val capacity: UpstreamCapacity,
    private val send: (ProcessName, MemoryAnswer) -> Unit,
) {
    private data class RequestKey(val entry: ProcessName, val id: Long)

    private class PendingOffer(val offer: MemoryOffer, var timer: Cancellable, var sentCount: Int = 1)

    private val ledger = MemoryLedger()
    private val waiting = LinkedHashMap<RequestKey, WaitingAsk>()
    private val offers = HashMap<RequestKey, PendingOffer>()
    private var nextRun: Cancellable? = null
    private var nextRunAt: Moment? = null
    private var silenceCheck: Cancellable? = null

    /** Requests that wait here. */
    val waitingRequests: Int get() = waiting.size

    /** Tokens that entries hold or were offered. */
    val heldTokens: Int get() = ledger.heldTokens

    /** Offers made since the start of the process. */
    var offerCount = 0L
        private set

    /** Requests refused since the start of the process. */
    var refusalCount = 0L
        private set

    /** Processes [message] of [entry]. */
    fun onMessage(entry: ProcessName, message: MemoryDemand) {
        val now = context.now()
        when (message) {
            is MemoryAsk -> onAsk(RequestKey(entry, message.id), message, now)
            is MemoryCancel -> onCancel(RequestKey(entry, message.id), now)
            is MemoryTaken -> {
                dropOffer(RequestKey(entry, message.holding.id))
                ledger.hold(entry, message.holding, now)
            }
            is MemoryDeclined -> onDeclined(RequestKey(entry, message.id), message, now)
            is MemoryReleased -> onReleased(RequestKey(entry, message.id), now)
            is MemoryList -> {
                ledger.correct(entry, message.from..message.to, message.holdings, now)
                send(entry, MemoryListReceived(service, isUnderPressure(now)))
                serveWaiting()
            }
        }
        if (silenceCheck == null) scheduleSilenceCheck()
    }

    private fun onAsk(key: RequestKey, ask: MemoryAsk, now: Moment) {
        val pending = offers[key]
        when {
            pending != null -> send(key.entry, pending.offer)
            key in waiting -> send(key.entry, MemoryQueued(service, key.id))
            ledger.contains(key.entry, key.id) -> Unit
            ledger.hasEnded(key.entry, key.id) -> send(key.entry, MemoryNotCoordinated(service, key.id))
            engineConfiguration() == null -> send(key.entry, MemoryNotCoordinated(service, key.id))
            else -> {
                val remaining = ask.remainingMs.milliseconds.coerceAtLeast(MINIMUM_WAIT)
                waiting[key] = WaitingAsk(key.entry, ask, now - ask.ageMs.milliseconds, now, now + remaining)
                serveWaiting()
                if (key in waiting) send(key.entry, MemoryQueued(service, key.id))
            }
        }
    }

    private fun onCancel(key: RequestKey, now: Moment) {
        ledger.recordEnd(key.entry, key.id, now)
        waiting.remove(key)
        if (dropOffer(key)) {
            ledger.remove(key.entry, key.id)
            serveWaiting()
        }
    }

    /** An offer that was not taken up says nothing about how long memory is held. */
    private fun onReleased(key: RequestKey, now: Moment) {
        ledger.recordEnd(key.entry, key.id, now)
        if (dropOffer(key)) ledger.remove(key.entry, key.id) else ledger.release(key.entry, key.id, now)
        serveWaiting()
    }

    private fun onDeclined(key: RequestKey, declined: MemoryDeclined, now: Moment) {
        dropOffer(key)
        ledger.recordEnd(key.entry, key.id, now)
        ledger.remove(key.entry, key.id)
        if (declined.isUnreachable) {
            ledger.recordUnreachable(declined.engine, now)
        } else {
            ledger.recordFull(declined.engine, now)
        }
        val detail = "service=$service entry=${key.entry} heldTokens=${ledger.tokensAt(declined.engine)} " +
            "heldRequests=${ledger.requestsAt(
                declined.engine,
            )} cause=${if (declined.isUnreachable) "failed" else "full"}"
        context.record(EventKind.MEMORY_OFFER_DECLINED, upstream = declined.engine, detail = detail)
        serveWaiting()
    }

    /** Ends the wait for a reaction to an offer. Returns whether there was one. */
    private fun dropOffer(key: RequestKey): Boolean {
        val offer = offers.remove(key) ?: return false
        offer.timer.cancel()
        return true
    }

    /**
     * Offers memory in the order of service. Smaller requests of the same priority may use what is too little for an
     * earlier one, until that has waited for half of its time: it would otherwise never find enough memory at once.
     */
    private fun serveWaiting() {
        if (waiting.isEmpty()) return
        val now = context.now()
        refuseExpired(now)
        val unserved = ArrayList<WaitingAsk>()
        var smallestUnserved = Int.MAX_VALUE
        for (request in inServiceOrder(waiting.values, ledger::tokensOf)) {
            val first = unserved.firstOrNull()
            val mayPass = first == null || (first.priority == request.priority && !first.hasWaitedHalf(now))
            if (mayPass && request.ask.tokens < smallestUnserved && serve(request, now)) continue
            unserved += request
            smallestUnserved = minOf(smallestUnserved, request.ask.tokens)
        }
        refuseUnservable(unserved, now)
        scheduleNextRun(now)
    }

    /** Offers an engine to [request]. Returns false when it has to wait. */
    private fun serve(request: WaitingAsk, now: Moment): Boolean {
        val key = RequestKey(request.entry, request.ask.id)
        val engines =
            context.upstreamSelector.candidates(service, PoolRole.DECODE, now, request.ask.avoided.toSet())
        if (engines.isEmpty()) {
            waiting.remove(key)
            send(request.entry, MemoryNotCoordinated(service, key.id))
            return true
        }
        val engine = chooseEngine(engines, request, now) ?: return false
        waiting.remove(key)
        ledger.hold(request.entry, MemoryHolding(key.id, engine.name, request.ask.tokens, request.ask.customer), now)
        ledger.recordOffer(request.entry, engine.name)
        val offer = MemoryOffer(service, key.id, engine.name, isUnderPressure(now))
        offerCount += 1
        offers[key] = PendingOffer(offer, scheduleRepetition(key))
        send(request.entry, offer)
        return true
    }

    /**
     * The engine with room that is filled least, in proportion to what it can take. One in another data centre than the
     * entry's counts as [OTHER_PLACE_COST] fuller, since all that a stream transfers has to go there and back, and one
     * to which the entry needs a new connection as [CONNECTION_COST] fuller.
     */
    private fun chooseEngine(
        engines: List<UpstreamRegistration>,
        request: WaitingAsk,
        now: Moment,
    ): UpstreamRegistration? {
        val ask = request.ask
        val configuration = engineConfiguration() ?: return null
        return engines
            .filter { hasRoom(it, ask.tokens, configuration) && ledger.avoidedUntil(it.name, now) == null }
            .minWithOrNull(compareBy({ it.name in ask.avoided }, { costOf(it, request, configuration, now) }))
    }

    /** The learned share is left out: a stream at a slower engine serves its caller better than a refusal. */
    private fun hasRoom(engine: UpstreamRegistration, tokens: Int, configuration: EngineConfiguration): Boolean {
        val requests = ledger.requestsAt(engine.name)
        if (requests == 0) return true
        return ledger.tokensAt(engine.name) + tokens <= configuration.memoryTokens && requests < configuration.slots
    }

    private fun costOf(
        engine: UpstreamRegistration,
        request: WaitingAsk,
        configuration: EngineConfiguration,
        now: Moment,
    ): Double {
        val ask = request.ask
        val usableTokens = configuration.memoryTokens.coerceAtLeast(1) * capacity.usableShare(engine.name)
        val load = (ledger.tokensAt(engine.name) + ask.tokens) / usableTokens
        val placeCost = if (engine.place == ask.place) 0.0 else OTHER_PLACE_COST
        val connectionCost = if (ledger.isConnected(request.entry, engine.name, now)) 0.0 else CONNECTION_COST
        return load * capacity.costFactor(engine.name) + placeCost + connectionCost
    }

    private fun scheduleRepetition(key: RequestKey): Cancellable =
        context.scheduler.schedule(RETRY_DELAY) { repeatOffer(key) }

    /** Repeats an offer without a reaction. One that stays without is withdrawn; the entry may have ended. */
    private fun repeatOffer(key: RequestKey) {
        val pending = offers[key] ?: return
        if (pending.sentCount >= MAXIMUM_OFFERS) {
            offers -= key
            ledger.remove(key.entry, key.id)
            serveWaiting()
            return
        }
        pending.sentCount += 1
        pending.timer = scheduleRepetition(key)
        send(key.entry, pending.offer)
    }

    private fun refuseExpired(now: Moment) {
        val expired = waiting.filterValues { it.deadline <= now }
        if (expired.isEmpty()) return
        val wait = ledger.expectedWait(waiting.values.sumOf { it.ask.tokens }, now)
        expired.forEach { (key, _) -> refuse(key, wait) }
    }

    /**
     * Refuses those of [ordered], none of which finds room now, that cannot be served in time. The first one waits
     * until its deadline, so that no estimate can refuse everything. A late refusal costs its caller more than an early
     * one: a request may begin to wait only if there is some time left, and is refused later only when it is far from
     * being served in time.
     */
    private fun refuseUnservable(ordered: List<WaitingAsk>, now: Moment) {
        if (ordered.isEmpty()) return
        var tokensAhead = 0
        ordered.forEachIndexed { index, request ->
            tokensAhead += request.ask.tokens
            val wait = ledger.expectedWait(tokensAhead, now)
            val tolerance = if (request.isAdmitted) ADMITTED_TOLERANCE else ARRIVAL_TOLERANCE
            if (index > 0 && wait > (request.deadline - now) * tolerance) {
                refuse(RequestKey(request.entry, request.ask.id), wait)
                tokensAhead -= request.ask.tokens
            } else {
                request.isAdmitted = true
            }
        }
    }

    private fun refuse(key: RequestKey, wait: Duration) {
        waiting.remove(key)
        refusalCount += 1
        send(
            key.entry,
            MemoryRefused(
                service,
                key.id,
                wait.coerceIn(MINIMUM_RETURN_DELAY, MAXIMUM_RETURN_DELAY).inWholeMilliseconds.toInt(),
            ),
        )
    }

    private fun isUnderPressure(now: Moment): Boolean {
        if (waiting.isNotEmpty()) return true
        val refused = ledger.avoidedEngines(now)
        return refused > 0 &&
            refused * 2 >= context.membership.serving(service, now).count { it.role == PoolRole.DECODE }
    }

    private fun scheduleNextRun(now: Moment) {
        if (waiting.isEmpty()) return
        val deadline = waiting.values.minOf { it.deadline }
        val runAt = minOf(deadline, ledger.earliestRetryAt(now) ?: deadline, now + RECHECK_INTERVAL)
        val planned = nextRunAt
        if (planned != null && planned > now && planned <= runAt) return
        nextRun?.cancel()
        nextRunAt = runAt
        nextRun = context.scheduler.schedule((runAt - now).coerceAtLeast(MINIMUM_RUN_DELAY)) {
            nextRunAt = null
            serveWaiting()
        }
    }

    private fun scheduleSilenceCheck() {
        silenceCheck = context.scheduler.schedule(SILENCE_CHECK_INTERVAL) {
            silenceCheck = null
            dropSilent(context.now())
            if (ledger.size > 0 || waiting.isNotEmpty()) scheduleSilenceCheck()
        }
    }

    private fun dropSilent(now: Moment) {
        val before = ledger.heldTokens
        val silent = ledger.dropSilent(now)
        if (ledger.heldTokens == before) return
        val detail = "entries=${silent.joinToString(",")} tokens=${before - ledger.heldTokens}"
        context.record(EventKind.MEMORY_ENTRY_SILENT, detail = detail)
        serveWaiting()
    }

    private companion object {
        val RETRY_DELAY: Duration = 40.milliseconds

        /** An offer waits for a reaction as long as an entry waits for the coordinator before it falls back. */
        const val MAXIMUM_OFFERS = 6

        /** A request is tried at least once, and waits for the first refusals of engines, whatever its deadline. */
        val MINIMUM_WAIT: Duration = 10.milliseconds
        val MINIMUM_RUN_DELAY: Duration = 1.milliseconds

        /** Engines that accept calls again, and estimates that changed, are noticed after this time. */
        val RECHECK_INTERVAL: Duration = 100.milliseconds
        val SILENCE_CHECK_INTERVAL: Duration = 1.seconds

        /** A caller that returns earlier finds the same requests waiting. */
        val MINIMUM_RETURN_DELAY: Duration = 100.milliseconds
        val MAXIMUM_RETURN_DELAY: Duration = 5.seconds
        const val ARRIVAL_TOLERANCE = 0.85
        const val ADMITTED_TOLERANCE = 1.5
        const val OTHER_PLACE_COST = 0.3

        /** A new connection is accepted to save the load of a stream or two on an engine. */
        const val CONNECTION_COST = 0.15
    }
}
