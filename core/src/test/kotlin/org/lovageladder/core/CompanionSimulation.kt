package org.lovageladder.core

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ENTRY_COUNT = 3
private const val KEY_COUNT = 3
private const val CLAIM_NUMBER_COUNT = 3
private const val SETTLE_ROUNDS = 12

/**
 * Simulates one companion with fake entries, upstreams and a fake key-value service; an oracle verifies its effects.
 * With [startsReady] it has its release, no calls of an earlier incarnation are left, and the entries are connected.
 */
internal class CompanionSimulation(startsReady: Boolean) {
    private class Delivery(val connection: ConnectionId, val message: PeerMessage)

    private val harness = CompanionHarness(CompanionHarness().settings.copy(queueLimit = QUEUE_LIMIT))
    private val store = FakeStore()
    private val upstreams = FakeUpstreams()
    private val oracle = CompanionOracle(upstreams)
    private val connections = HashMap<Int, ConnectionId>()
    private val delayedMessages = ArrayList<Delivery>()
    private val sentMessages = ArrayList<Delivery>()
    private val claims = HashMap<Pair<String, Long>, ClaimTicket>()
    private val storeCalls = ArrayList<CompanionEffect.CallStore>()
    private val outdatedStoreCalls = HashSet<Long>()
    private val pendingListings = ArrayList<UpstreamName>()
    private val pendingOrphanCancels = ArrayList<CompanionEffect.CancelOrphan>()
    private val pendingOrders = ArrayList<CompanionEffect.SendOrder>()
    private var connectionCount = 0L
    private var attemptCount = 0
    private var heartbeatCount = 0L
    private var isDecodeServed = false
    private val recordedKinds = HashSet<EventKind>()

    init {
        store.publish(firstNote())
        oracle.mustReadRelease = true
        handle(CompanionEvent.TimePassed)
        if (startsReady) becomeReady()
    }

    /** Kinds of the events that the companion recorded so far. */
    val recorded: Set<EventKind> get() = recordedKinds

    /** Performs [step]; does nothing after the companion's exit. */
    fun perform(step: FuzzStep) {
        if (oracle.hasExited) return
        when (step.kind) {
            FuzzKind.ADVANCE_TIME -> advanceTime(step.first)
            FuzzKind.SUSPEND -> suspendProcess()
            FuzzKind.CONNECT ->
                if (step.second % 4 == 0 || connections.size < ENTRY_COUNT) connect(step.first % ENTRY_COUNT)
            FuzzKind.DISCONNECT -> step.pick(connections.keys.sorted())?.let(::disconnect)
            FuzzKind.RESERVE, FuzzKind.START_PREFILL, FuzzKind.START_PLAIN, FuzzKind.START_CLAIMED -> start(step)
            FuzzKind.START_DECODE -> startDecode(step)
            FuzzKind.CANCEL -> step.pick(recentAttempts())?.let { (id, observed) ->
                send(step, observed.owner, PeerMessage.Cancel(id))
            }
            FuzzKind.VOID_CLAIM ->
                withConnection(step) { send(step, it, PeerMessage.VoidClaim(key(step), number(step))) }
            FuzzKind.FOLLOW_CLAIM ->
                withConnection(step) { send(step, it, PeerMessage.FollowClaim(key(step), number(step))) }
            FuzzKind.HEARTBEAT -> heartbeat()
            FuzzKind.DELIVER_DELAYED -> step.pick(delayedMessages)?.let(::deliverDelayed)
            FuzzKind.DELIVER_AGAIN -> step.pick(sentMessages)?.let { deliver(it.connection, it.message) }
            FuzzKind.TOKEN -> step.pick(upstreams.activeCalls)?.let(upstreams::token)
            FuzzKind.END_CALL -> step.pick(upstreams.activeCalls)?.let { upstreams.end(it, callEndOf(step)) }
            FuzzKind.REPORT -> step.pick(upstreams.pendingReports)?.let(::report)
            FuzzKind.END_CANCEL -> step.pick(upstreams.cancels)?.let { endCancel(it, cancelResultOf(step)) }
            FuzzKind.ANSWER_STORE -> step.pick(storeCalls)?.let { answerStore(it, step.second) }
            FuzzKind.LIST_RUNNING -> step.pick(pendingListings)?.let { listRunning(it, answers = step.second % 4 != 0) }
            FuzzKind.END_ORPHAN -> step.pick(pendingOrphanCancels)?.let { endOrphan(it, cancelResultOf(step)) }
            FuzzKind.END_ORDER -> step.pick(pendingOrders)?.let { endOrder(it, step.second) }
            FuzzKind.PUBLISH -> publish(step)
            FuzzKind.LIST_HOSTS -> listHosts(step)
            FuzzKind.STOP -> if (step.first % 6 == 0) handle(CompanionEvent.StopRequested)
        }
    }

    /** Lets all pending work end and verifies that every start message was answered and that nothing is held. */
    fun settle() {
        repeat(SETTLE_ROUNDS) { settleOnce() }
        if (oracle.hasExited) return
        oracle.verifyFinalMessages()
        connections.keys.toList().forEach(::disconnect)
        repeat(SETTLE_ROUNDS) { settleOnce() }
        if (oracle.hasExited) return
        verifyIdle()
    }

    private fun becomeReady() {
        upstreams.orphans.clear()
        storeCalls.toList().forEach { answerStore(it, NORMAL_ANSWER_CODE) }
        pendingListings.toList().forEach { listRunning(it, answers = true) }
        repeat(ENTRY_COUNT) { connect(it) }
    }

    private fun verifyIdle() {
        val status = harness.companion.status(harness.now)
        assertTrue(status.ready, "not ready after settling: $status")
        assertEquals(0, status.reservations, "$status")
        assertEquals(0, status.runningCalls, "$status")
        assertEquals(emptyList(), upstreams.activeCalls.map { it.attempt }, "calls still active")
        for (load in status.loads) assertEquals(load.copy(piecesFree = load.piecesTotal, waiting = 0), load)
        for ((key, number) in oracle.answeredNumbers) {
            val record = decodeClaim(assertNotNull(store.read(key)).value)
            if (record?.number == number) assertEquals(ANSWER, record.answer, "stored answer of $key")
        }
    }

    private fun settleOnce() {
        if (oracle.hasExited) return
        heartbeat()
        delayedMessages.toList().forEach(::deliverDelayed)
        storeCalls.toList().forEach { answerStore(it, NORMAL_ANSWER_CODE) }
        pendingListings.toList().forEach { listRunning(it, answers = true) }
        pendingOrphanCancels.toList().forEach { endOrphan(it, FakeCancelResult.CONFIRMED) }
        pendingOrders.toList().forEach { endOrder(it, 0) }
        upstreams.cancels.toList().forEach { endCancel(it, FakeCancelResult.CONFIRMED) }
        upstreams.activeCalls.forEach { upstreams.end(it, FakeCallEnd.DONE) }
        while (upstreams.pendingReports.isNotEmpty() && !oracle.hasExited) report(upstreams.pendingReports.first())
        advanceTime(SETTLE_STEP_MILLISECONDS)
    }

    private fun advanceTime(code: Int) {
        val end = harness.now + (code % MAXIMUM_ADVANCE_MILLISECONDS).milliseconds
        while (!oracle.hasExited) {
            val next = harness.companion.nextDeadline() ?: break
            if (next > end) break
            if (next > harness.now) harness.suspendFor(next - harness.now)
            handle(CompanionEvent.TimePassed)
        }
        harness.suspendFor(end - harness.now)
        if (!oracle.hasExited) handle(CompanionEvent.TimePassed)
    }

    private fun suspendProcess() {
        harness.suspendFor(harness.settings.peerSilenceLimit + 1.seconds)
        oracle.mustReadRelease = true
        outdatedStoreCalls += storeCalls.map { it.callNumber }
    }

    private fun connect(entry: Int) {
        val connection = ConnectionId(++connectionCount)
        handleAfterDueWork(CompanionEvent.Connected(connection, hello("entry-$entry"))) {
            oracle.openConnections += connection
        }
        connections[entry] = connection
    }

    private fun disconnect(entry: Int) {
        val connection = connections.remove(entry) ?: return
        val fault = Fault(Step.CONNECT, "entry", FaultCause.CONNECTION_LOST)
        handleAfterDueWork(CompanionEvent.Disconnected(connection, fault)) { oracle.onConnectionEnded(connection) }
    }

    private fun heartbeat() {
        for (connection in connections.values.toList()) deliver(connection, PeerMessage.Heartbeat(++heartbeatCount))
    }

    private fun start(step: FuzzStep) = withConnection(step) { connection ->
        val attempt = attempt(++attemptCount)
        val wait = (step.second % MAXIMUM_WAIT_MILLISECONDS).milliseconds
        val hold = (step.third % MAXIMUM_WAIT_MILLISECONDS).milliseconds
        val message = when (step.kind) {
            FuzzKind.RESERVE -> reserve(attempt, step.third % (DECODE_PIECES + 2), worth(step), wait, hold)
            FuzzKind.START_PREFILL -> startPrefill(attempt, 1 + step.third, worth(step), wait)
            FuzzKind.START_CLAIMED -> startPlain(attempt, claimFor(step), wait)
            else -> startPlain(attempt, startWithin = wait)
        }
        send(step, connection, message)
    }

    private fun startDecode(step: FuzzStep) {
        val reserved = recentAttempts().filter { it.second.start is PeerMessage.Reserve }
        val granted = reserved.filter { it.second.grantedUntil != null && !it.second.isDecodeRequested }
        val (id, observed) = step.pick(granted.ifEmpty { reserved }) ?: return
        send(step, observed.owner, startDecode(id))
    }

    private fun recentAttempts(): List<Pair<AttemptId, ObservedAttempt>> =
        oracle.attempts.entries.toList().takeLast(RECENT_ATTEMPT_COUNT).map { it.key to it.value }

    private fun worth(step: FuzzStep): Double = (step.second % 3).toDouble()

    private fun key(step: FuzzStep): String = "claims/service/key-${step.second % KEY_COUNT}"

    private fun number(step: FuzzStep): Long = 1L + step.third % CLAIM_NUMBER_COUNT

    private fun claimFor(step: FuzzStep): ClaimTicket {
        val key = key(step)
        val number = number(step)
        val ticket = claims.getOrPut(key to number) {
            val claim = claim(number, key)
            val newest = store.read(key)?.let { decodeClaim(it.value)?.number } ?: 0
            if (number > newest) claim.copy(revision = store.write(key, encodeClaim(claim.record))) else claim
        }
        val isStale = step.third % 10 == 9
        return if (isStale) ticket.copy(record = ticket.record.copy(incarnation = Incarnation(6))) else ticket
    }

    private fun withConnection(step: FuzzStep, action: (ConnectionId) -> Unit) {
        step.pick(connections.values.sortedBy { it.number })?.let(action)
    }

    /** Delivers [message], or delays it in one of four cases. */
    private fun send(step: FuzzStep, connection: ConnectionId, message: PeerMessage) {
        val delivery = Delivery(connection, message)
        sentMessages += delivery
        if ((step.first + step.third) % 4 == 0) delayedMessages += delivery else deliver(connection, message)
    }

    private fun deliverDelayed(delivery: Delivery) {
        delayedMessages -= delivery
        deliver(delivery.connection, delivery.message)
    }

    private fun deliver(connection: ConnectionId, message: PeerMessage) {
        if (oracle.hasExited) return
        val envelope = Envelope(ReleaseVersion(store.notes.size.toLong()), HybridTime(0, 0), message)
        handleAfterDueWork(CompanionEvent.Received(connection, envelope)) {
            if (message is PeerMessage.Notes) oracle.mustReadRelease = false
            oracle.onDelivered(connection, message)
        }
    }

    private fun callEndOf(step: FuzzStep): FakeCallEnd = if (step.second % 3 > 0) {
        FakeCallEnd.DONE
    } else {
        FakeCallEnd.entries[step.third % FakeCallEnd.entries.size]
    }

    private fun cancelResultOf(step: FuzzStep): FakeCancelResult =
        FakeCancelResult.entries[step.second % FakeCancelResult.entries.size]

    private fun report(attempt: AttemptId) {
        val report = upstreams.nextReport(attempt)
        handleAfterDueWork(CompanionEvent.CallReported(attempt, report)) { oracle.onReport(attempt, report) }
    }

    private fun endCancel(effect: CompanionEffect.CancelCall, end: FakeCancelResult) {
        val isConfirmed = upstreams.cancel(effect, end)
        handleAfterDueWork(CompanionEvent.CancelEnded(effect.attempt, isConfirmed)) {
            if (isConfirmed) oracle.onCancelConfirmed(effect.attempt)
        }
    }

    private fun answerStore(effect: CompanionEffect.CallStore, code: Int) {
        storeCalls -= effect
        val answer = when (code % 8) {
            0 -> unavailable()
            1 -> unavailable().also { store.call(effect.request) }
            2 -> store.call(effect.request, visibleNotes = store.notes.size / 2)
            else -> store.call(effect.request)
        }
        val isReleaseRead = effect.request is StoreRequest.ReadAfter && answer is StoreAnswer.Found
        handleAfterDueWork(CompanionEvent.StoreAnswered(effect.callNumber, answer)) {
            if (isReleaseRead && effect.callNumber !in outdatedStoreCalls) oracle.mustReadRelease = false
        }
    }

    private fun listRunning(upstream: UpstreamName, answers: Boolean) {
        pendingListings -= upstream
        handle(CompanionEvent.RunningListed(upstream, if (answers) upstreams.running(upstream) else null))
    }

    private fun endOrphan(effect: CompanionEffect.CancelOrphan, end: FakeCancelResult) {
        pendingOrphanCancels -= effect
        if (end != FakeCancelResult.IGNORED) upstreams.orphans[effect.upstream.name]?.remove(effect.requestName)
        val isConfirmed = end == FakeCancelResult.CONFIRMED
        handle(CompanionEvent.OrphanCancelEnded(effect.upstream.name, effect.requestName, isConfirmed))
    }

    private fun endOrder(effect: CompanionEffect.SendOrder, code: Int) {
        pendingOrders -= effect
        val cause = listOf(null, null, FaultCause.TIMEOUT, FaultCause.FENCED)[code % 4]
        val fault = cause?.let { Fault(Step.ORDER, effect.upstream.name.text, it) }
        handle(CompanionEvent.OrderEnded(effect.upstream.name, effect.order, effect.fencing, fault))
    }

    private fun publish(step: FuzzStep) {
        val version = store.notes.size + 1L
        val isDecodeInRelease = store.notes.fold(true) { isInRelease, accepted ->
            (isInRelease && DECODE_ENTRY.key !in accepted.note.withdrawn) || DECODE_ENTRY in accepted.note.added
        }
        val next = when {
            step.first % 2 == 0 -> note(version, changed = listOf(PREFILL_ENTRY.copy(adapters = adapters(step))))
            isDecodeInRelease -> note(version, withdrawn = listOf(DECODE_ENTRY.key))
            else -> note(version, added = listOf(DECODE_ENTRY))
        }
        store.publish(next)
        if (step.second % 2 == 0) withConnection(step) { send(step, it, PeerMessage.Notes(store.notes.toList())) }
    }

    private fun adapters(step: FuzzStep) = List(step.third % 3) { ModelName("adapter-$it") }

    private fun listHosts(step: FuzzStep) {
        val isLeaving = step.first % 4 == 0
        handle(CompanionEvent.HostsListed(listOf(ListedHost(HOST, PLACE, isLeaving))))
    }

    /** Lets the companion process what is due first, so that later effects are those of [event] alone. */
    private fun handleAfterDueWork(event: CompanionEvent, beforeEvent: () -> Unit) {
        if (oracle.hasExited) return
        handle(CompanionEvent.TimePassed)
        if (oracle.hasExited) return
        beforeEvent()
        handle(event)
    }

    private fun handle(event: CompanionEvent) {
        if (oracle.hasExited) return
        val effects = harness.companion.handle(event, harness.now)
        for (effect in effects) {
            oracle.verify(effect, harness.now)
            carryOut(effect)
        }
        val loads = harness.companion.status(harness.now).loads
        val isServed = loads.any { it.upstream == DECODE }
        if (isDecodeServed && !isServed) oracle.ledgerEpoch++
        isDecodeServed = isServed
        oracle.verifyLoads(loads, harness.now)
        val next = assertNotNull(harness.companion.nextDeadline())
        assertTrue(next > harness.now, "overdue deadline at ${harness.now}: $next")
    }

    private fun carryOut(effect: CompanionEffect) {
        when (effect) {
            is CompanionEffect.StartCall -> upstreams.start(effect)
            is CompanionEffect.CancelCall -> upstreams.cancels += effect
            is CompanionEffect.CallStore -> storeCalls += effect
            is CompanionEffect.ListRunning -> pendingListings += effect.upstream.name
            is CompanionEffect.CancelOrphan -> cancelOrphan(effect)
            is CompanionEffect.SendOrder -> sendOrder(effect)
            is CompanionEffect.Disconnect -> connections.values.remove(effect.connection)
            is CompanionEffect.Send -> answerFetch(effect)
            is CompanionEffect.Record -> recordedKinds += effect.event.kind
            is CompanionEffect.Exit -> Unit
        }
    }

    private fun cancelOrphan(effect: CompanionEffect.CancelOrphan) {
        assertTrue(effect.requestName.startsWith("old"), "own call treated as an orphan: ${effect.requestName}")
        pendingOrphanCancels += effect
    }

    private fun sendOrder(effect: CompanionEffect.SendOrder) {
        assertTrue(pendingOrders.none { it.upstream.name == effect.upstream.name }, "two orders at once: $effect")
        pendingOrders += effect
    }

    private fun answerFetch(effect: CompanionEffect.Send) {
        val fetch = effect.message as? PeerMessage.FetchNotes ?: return
        delayedMessages +=
            Delivery(effect.connection, PeerMessage.Notes(store.notes.filter { it.version > fetch.after }))
    }

    private companion object {
        const val QUEUE_LIMIT = 4
        const val MAXIMUM_ADVANCE_MILLISECONDS = 700
        const val MAXIMUM_WAIT_MILLISECONDS = 500
        const val SETTLE_STEP_MILLISECONDS = 400
        const val NORMAL_ANSWER_CODE = 7
        const val RECENT_ATTEMPT_COUNT = 8
    }
}
