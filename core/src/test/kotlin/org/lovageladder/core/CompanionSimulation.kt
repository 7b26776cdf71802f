package org.lovageladder.core

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ENTRIES = 3
private const val KEYS = 3
private const val NUMBERS = 3
private const val SETTLE_ROUNDS = 12

/**
 * One companion among fake entries, upstreams and a fake key-value service, with the oracle that judges it. With
 * [startsReady] it has its release, nothing of an earlier incarnation is left, and entries are connected.
 */
internal class CompanionSimulation(startsReady: Boolean) {
    private class Delayed(val connection: ConnectionId, val message: PeerMessage)

    private val harness = CompanionHarness(CompanionHarness().settings.copy(queueLimit = QUEUE_LIMIT))
    private val store = FakeStore()
    private val upstreams = FakeUpstreams()
    private val oracle = CompanionOracle(upstreams)
    private val connections = HashMap<Int, ConnectionId>()
    private val delayed = ArrayList<Delayed>()
    private val sent = ArrayList<Delayed>()
    private val claims = HashMap<Pair<String, Long>, ClaimTicket>()
    private val asked = ArrayList<CompanionEffect.AskStore>()
    private val outdated = HashSet<Long>()
    private val listings = ArrayList<UpstreamName>()
    private val orphans = ArrayList<CompanionEffect.CancelOrphan>()
    private val orders = ArrayList<CompanionEffect.GiveOrder>()
    private var connectionCount = 0L
    private var attemptCount = 0
    private var heartbeats = 0L
    private var isDecodeServed = false
    private val seen = HashSet<EventKind>()

    init {
        store.publish(firstNote())
        oracle.mustRead = true
        handle(CompanionEvent.TimePassed)
        if (startsReady) becomeReady()
    }

    /** Events that the companion recorded so far. */
    val recorded: Set<EventKind> get() = seen

    /** Takes [step]; after the companion's exit nothing happens any more. */
    fun take(step: FuzzStep) {
        if (oracle.hasExited) return
        when (step.kind) {
            FuzzKind.PASS -> pass(step.first)
            FuzzKind.FREEZE -> freeze()
            FuzzKind.CONNECT -> if (step.second % 4 == 0 || connections.size < ENTRIES) connect(step.first % ENTRIES)
            FuzzKind.DISCONNECT -> step.pick(connections.keys.sorted())?.let(::disconnect)
            FuzzKind.RESERVE, FuzzKind.START_PREFILL, FuzzKind.START_PLAIN, FuzzKind.START_CLAIMED -> start(step)
            FuzzKind.START_DECODE -> startDecode(step)
            FuzzKind.CANCEL -> step.pick(recent())?.let { (id, known) ->
                send(step, known.owner, PeerMessage.Cancel(id))
            }
            FuzzKind.VOID_CLAIM -> onConnection(step) { send(step, it, PeerMessage.VoidClaim(key(step), number(step))) }
            FuzzKind.FOLLOW_CLAIM ->
                onConnection(step) { send(step, it, PeerMessage.FollowClaim(key(step), number(step))) }
            FuzzKind.HEARTBEAT -> heartbeat()
            FuzzKind.DELIVER -> step.pick(delayed)?.let(::deliverDelayed)
            FuzzKind.DELIVER_AGAIN -> step.pick(sent)?.let { deliver(it.connection, it.message) }
            FuzzKind.TOKEN -> step.pick(upstreams.held)?.let(upstreams::token)
            FuzzKind.END_CALL -> step.pick(upstreams.held)?.let { upstreams.end(it, endOf(step)) }
            FuzzKind.REPORT -> step.pick(upstreams.reporting)?.let(::report)
            FuzzKind.END_CANCEL -> step.pick(upstreams.cancels)?.let { endCancel(it, cancelEndOf(step)) }
            FuzzKind.ANSWER_STORE -> step.pick(asked)?.let { answerStore(it, step.second) }
            FuzzKind.LIST_RUNNING -> step.pick(listings)?.let { listRunning(it, answers = step.second % 4 != 0) }
            FuzzKind.END_ORPHAN -> step.pick(orphans)?.let { endOrphan(it, cancelEndOf(step)) }
            FuzzKind.END_ORDER -> step.pick(orders)?.let { endOrder(it, step.second) }
            FuzzKind.PUBLISH -> publish(step)
            FuzzKind.LIST_HOSTS -> listHosts(step)
            FuzzKind.STOP -> if (step.first % 6 == 0) handle(CompanionEvent.StopRequested)
        }
    }

    /** Lets everything under way come to its end and judges that every start was answered and nothing is held. */
    fun settle() {
        repeat(SETTLE_ROUNDS) { settleOnce() }
        if (oracle.hasExited) return
        oracle.judgeAnswers()
        connections.keys.toList().forEach(::disconnect)
        repeat(SETTLE_ROUNDS) { settleOnce() }
        if (oracle.hasExited) return
        judgeIdle()
    }

    private fun becomeReady() {
        upstreams.orphans.clear()
        asked.toList().forEach { answerStore(it, ANSWERS_NORMALLY) }
        listings.toList().forEach { listRunning(it, answers = true) }
        repeat(ENTRIES) { connect(it) }
    }

    private fun judgeIdle() {
        val status = harness.companion.status(harness.now)
        assertTrue(status.ready, "not ready after all: $status")
        assertEquals(0, status.reservations, "$status")
        assertEquals(0, status.runningCalls, "$status")
        assertEquals(emptyList(), upstreams.held.map { it.attempt }, "held for nobody")
        for (load in status.loads) assertEquals(load.copy(piecesFree = load.piecesTotal, waiting = 0), load)
        for ((key, number) in oracle.answeredKeys) {
            val record = decodeClaim(assertNotNull(store.read(key)).value)
            if (record?.number == number) assertEquals(ANSWER, record.answer, "stored answer of $key")
        }
    }

    private fun settleOnce() {
        if (oracle.hasExited) return
        heartbeat()
        delayed.toList().forEach(::deliverDelayed)
        asked.toList().forEach { answerStore(it, ANSWERS_NORMALLY) }
        listings.toList().forEach { listRunning(it, answers = true) }
        orphans.toList().forEach { endOrphan(it, FakeCancelResult.CONFIRMED) }
        orders.toList().forEach { endOrder(it, 0) }
        upstreams.cancels.toList().forEach { endCancel(it, FakeCancelResult.CONFIRMED) }
        upstreams.held.forEach { upstreams.end(it, FakeCallEnd.DONE) }
        while (upstreams.reporting.isNotEmpty() && !oracle.hasExited) report(upstreams.reporting.first())
        pass(SETTLE_STEP)
    }

    private fun pass(code: Int) {
        val end = harness.now + (code % LONGEST_PASS).milliseconds
        while (!oracle.hasExited) {
            val next = harness.companion.nextDeadline() ?: break
            if (next > end) break
            if (next > harness.now) harness.suspendFor(next - harness.now)
            handle(CompanionEvent.TimePassed)
        }
        harness.suspendFor(end - harness.now)
        if (!oracle.hasExited) handle(CompanionEvent.TimePassed)
    }

    private fun freeze() {
        harness.suspendFor(harness.settings.peerSilenceLimit + 1.seconds)
        oracle.mustRead = true
        outdated += asked.map { it.ticket }
    }

    private fun connect(entry: Int) {
        val connection = ConnectionId(++connectionCount)
        handleAfterTime(CompanionEvent.Connected(connection, hello("entry-$entry"))) {
            oracle.live += connection
        }
        connections[entry] = connection
    }

    private fun disconnect(entry: Int) {
        val connection = connections.remove(entry) ?: return
        val fault = Fault(Step.CONNECT, "entry", FaultCause.CONNECTION_LOST)
        handleAfterTime(CompanionEvent.Disconnected(connection, fault)) { oracle.connectionEnded(connection) }
    }

    private fun heartbeat() {
        for (connection in connections.values.toList()) deliver(connection, PeerMessage.Heartbeat(++heartbeats))
    }

    private fun start(step: FuzzStep) = onConnection(step) { connection ->
        val attempt = attempt(++attemptCount)
        val wait = (step.second % LONGEST_WAIT).milliseconds
        val hold = (step.third % LONGEST_WAIT).milliseconds
        val message = when (step.kind) {
            FuzzKind.RESERVE -> reserve(attempt, step.third % (DECODE_PIECES + 2), worth(step), wait, hold)
            FuzzKind.START_PREFILL -> startPrefill(attempt, 1 + step.third, worth(step), wait)
            FuzzKind.START_CLAIMED -> startPlain(attempt, claimFor(step), wait)
            else -> startPlain(attempt, startWithin = wait)
        }
        send(step, connection, message)
    }

    private fun startDecode(step: FuzzStep) {
        val reserved = recent().filter { it.second.start is PeerMessage.Reserve }
        val granted = reserved.filter { it.second.grantedUntil != null && !it.second.isDecodeAsked }
        val (id, known) = step.pick(granted.ifEmpty { reserved }) ?: return
        send(step, known.owner, startDecode(id))
    }

    private fun recent(): List<Pair<AttemptId, KnownAttempt>> =
        oracle.attempts.entries.toList().takeLast(RECENT).map { it.key to it.value }

    private fun worth(step: FuzzStep): Double = (step.second % 3).toDouble()

    private fun key(step: FuzzStep): String = "claims/service/key-${step.second % KEYS}"

    private fun number(step: FuzzStep): Long = 1L + step.third % NUMBERS

    private fun claimFor(step: FuzzStep): ClaimTicket {
        val key = key(step)
        val number = number(step)
        val ticket = claims.getOrPut(key to number) {
            val claim = claim(number, key)
            val newest = store.read(key)?.let { decodeClaim(it.value)?.number } ?: 0
            if (number > newest) claim.copy(revision = store.write(key, encodeClaim(claim.record))) else claim
        }
        val isForeign = step.third % 10 == 9
        return if (isForeign) ticket.copy(record = ticket.record.copy(incarnation = Incarnation(6))) else ticket
    }

    private fun onConnection(step: FuzzStep, action: (ConnectionId) -> Unit) {
        step.pick(connections.values.sortedBy { it.number })?.let(action)
    }

    /** Delivers [message], or delays it in one of four cases. */
    private fun send(step: FuzzStep, connection: ConnectionId, message: PeerMessage) {
        val delivery = Delayed(connection, message)
        sent += delivery
        if ((step.first + step.third) % 4 == 0) delayed += delivery else deliver(connection, message)
    }

    private fun deliverDelayed(delivery: Delayed) {
        delayed -= delivery
        deliver(delivery.connection, delivery.message)
    }

    private fun deliver(connection: ConnectionId, message: PeerMessage) {
        if (oracle.hasExited) return
        val envelope = Envelope(ReleaseVersion(store.notes.size.toLong()), HybridTime(0, 0), message)
        handleAfterTime(CompanionEvent.Received(connection, envelope)) {
            if (message is PeerMessage.Notes) oracle.mustRead = false
            oracle.delivered(connection, message)
        }
    }

    private fun endOf(step: FuzzStep): FakeCallEnd = if (step.second % 3 > 0) {
        FakeCallEnd.DONE
    } else {
        FakeCallEnd.entries[step.third % FakeCallEnd.entries.size]
    }

    private fun cancelEndOf(step: FuzzStep): FakeCancelResult = FakeCancelResult.entries[step.second % FakeCancelResult.entries.size]

    private fun report(attempt: AttemptId) {
        val report = upstreams.nextReport(attempt)
        handleAfterTime(CompanionEvent.Reported(attempt, report)) { oracle.reported(attempt, report) }
    }

    private fun endCancel(effect: CompanionEffect.CancelCall, end: FakeCancelResult) {
        val isConfirmed = upstreams.cancel(effect, end)
        handleAfterTime(CompanionEvent.CancelEnded(effect.attempt, isConfirmed)) {
            if (isConfirmed) oracle.cancelConfirmed(effect.attempt)
        }
    }

    private fun answerStore(effect: CompanionEffect.AskStore, code: Int) {
        asked -= effect
        val answer = when (code % 8) {
            0 -> unavailable()
            1 -> unavailable().also { store.call(effect.request) }
            2 -> store.call(effect.request, visibleNotes = store.notes.size / 2)
            else -> store.call(effect.request)
        }
        val isReading = effect.request is StoreRequest.ReadAfter && answer is StoreAnswer.Found
        handleAfterTime(CompanionEvent.StoreAnswered(effect.ticket, answer)) {
            if (isReading && effect.ticket !in outdated) oracle.mustRead = false
        }
    }

    private fun listRunning(upstream: UpstreamName, answers: Boolean) {
        listings -= upstream
        handle(CompanionEvent.RunningListed(upstream, if (answers) upstreams.running(upstream) else null))
    }

    private fun endOrphan(effect: CompanionEffect.CancelOrphan, end: FakeCancelResult) {
        orphans -= effect
        if (end != FakeCancelResult.IGNORED) upstreams.orphans[effect.upstream.name]?.remove(effect.requestName)
        val isConfirmed = end == FakeCancelResult.CONFIRMED
        handle(CompanionEvent.OrphanEnded(effect.upstream.name, effect.requestName, isConfirmed))
    }

    private fun endOrder(effect: CompanionEffect.GiveOrder, code: Int) {
        orders -= effect
        val cause = listOf(null, null, FaultCause.TIMEOUT, FaultCause.FENCED)[code % 4]
        val fault = cause?.let { Fault(Step.ORDER, effect.upstream.name.text, it) }
        handle(CompanionEvent.OrderEnded(effect.upstream.name, effect.order, effect.fencing, fault))
    }

    private fun publish(step: FuzzStep) {
        val version = store.notes.size + 1L
        val isDecodeThere = store.notes.fold(true) { there, accepted ->
            (there && DECODE_ENTRY.key !in accepted.note.withdrawn) || DECODE_ENTRY in accepted.note.added
        }
        val next = when {
            step.first % 2 == 0 -> note(version, changed = listOf(PREFILL_ENTRY.copy(adapters = adapters(step))))
            isDecodeThere -> note(version, withdrawn = listOf(DECODE_ENTRY.key))
            else -> note(version, added = listOf(DECODE_ENTRY))
        }
        store.publish(next)
        if (step.second % 2 == 0) onConnection(step) { send(step, it, PeerMessage.Notes(store.notes.toList())) }
    }

    private fun adapters(step: FuzzStep) = List(step.third % 3) { ModelName("adapter-$it") }

    private fun listHosts(step: FuzzStep) {
        val isLeaving = step.first % 4 == 0
        handle(CompanionEvent.HostsListed(listOf(ListedHost(HOST, PLACE, isLeaving))))
    }

    /** Lets the companion do what is due first, so that what follows is the effect of [event] alone. */
    private fun handleAfterTime(event: CompanionEvent, known: () -> Unit) {
        if (oracle.hasExited) return
        handle(CompanionEvent.TimePassed)
        if (oracle.hasExited) return
        known()
        handle(event)
    }

    private fun handle(event: CompanionEvent) {
        if (oracle.hasExited) return
        val effects = harness.companion.handle(event, harness.now)
        for (effect in effects) {
            oracle.judge(effect, harness.now)
            carryOut(effect)
        }
        val loads = harness.companion.status(harness.now).loads
        val isServed = loads.any { it.upstream == DECODE }
        if (isDecodeServed && !isServed) oracle.epoch++
        isDecodeServed = isServed
        oracle.judgeLoads(loads, harness.now)
        val next = assertNotNull(harness.companion.nextDeadline())
        assertTrue(next > harness.now, "left undone at ${harness.now}: $next")
    }

    private fun carryOut(effect: CompanionEffect) {
        when (effect) {
            is CompanionEffect.StartCall -> upstreams.start(effect)
            is CompanionEffect.CancelCall -> upstreams.cancels += effect
            is CompanionEffect.AskStore -> asked += effect
            is CompanionEffect.ListRunning -> listings += effect.upstream.name
            is CompanionEffect.CancelOrphan -> cancelOrphan(effect)
            is CompanionEffect.GiveOrder -> giveOrder(effect)
            is CompanionEffect.Disconnect -> connections.values.remove(effect.connection)
            is CompanionEffect.Send -> answerFetch(effect)
            is CompanionEffect.Record -> seen += effect.event.kind
            is CompanionEffect.Exit -> Unit
        }
    }

    private fun cancelOrphan(effect: CompanionEffect.CancelOrphan) {
        assertTrue(effect.requestName.startsWith("old"), "own call taken for an orphan: ${effect.requestName}")
        orphans += effect
    }

    private fun giveOrder(effect: CompanionEffect.GiveOrder) {
        assertTrue(orders.none { it.upstream.name == effect.upstream.name }, "two orders at once: $effect")
        orders += effect
    }

    private fun answerFetch(effect: CompanionEffect.Send) {
        val fetch = effect.message as? PeerMessage.FetchNotes ?: return
        delayed += Delayed(effect.connection, PeerMessage.Notes(store.notes.filter { it.version > fetch.after }))
    }

    private companion object {
        const val QUEUE_LIMIT = 4
        const val LONGEST_PASS = 700
        const val LONGEST_WAIT = 500
        const val SETTLE_STEP = 400
        const val ANSWERS_NORMALLY = 7
        const val RECENT = 8
    }
}
