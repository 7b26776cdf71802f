package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ProcessName
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.customer.CustomerKey
import org.lovageladder.core.forward.messaging.EntryMessage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How upstreams treat requests, as shares from 0 to 1. Of its [answerEvents] a crash leaves [eventsBeforeCrash].
 * [slowdown] multiplies the times of an upstream, from its name and the number of calls that run there.
 */
internal data class UpstreamBehaviour(
    val declinedShare: Double = 0.0,
    val lostAnswerShare: Double = 0.0,
    val serviceTime: Duration = 40.milliseconds,
    val answerEvents: Int = 1,
    val eventInterval: Duration = 25.milliseconds,
    val eventsBeforeCrash: Int = 0,
    val slowdown: (UpstreamName, Int) -> Double = { _, _ -> 1.0 },
)

/**
 * A call that reached [upstream]. [isBound] is set when its entry was told of a limit of [upstream] half a second
 * before or earlier, and not restarted or frozen since.
 */
internal class Arrival(val at: Moment, val upstream: UpstreamName, val isBound: Boolean)

/**
 * One model of the upstreams for all entries of a fleet. An upstream with a limit names it in each answer. Engines
 * always have memory, unless [memory] accounts for it.
 */
internal class FleetUpstreams(
    private val scheduler: VirtualScheduler,
    private val random: Random,
    private val behaviour: UpstreamBehaviour,
    private val memory: FleetMemory? = null,
) {
    private val limits = HashMap<UpstreamName, () -> Double>()
    private val startCounts = HashMap<UpstreamName, Long>()
    private val downUntil = HashMap<UpstreamName, Moment>()
    private val runningCalls = HashMap<UpstreamName, LinkedHashSet<AnswerReceiver>>()
    val arrivals = ArrayList<Arrival>()

    /** An engine crashes while it writes an answer to a request that has one of these parts in its prompt. */
    val deadlyParts = HashSet<RequestTrait>()

    /** An upstream crashes while it writes the answer to a request for one of these targets, which count as its part. */
    val deadlyTargets = HashSet<String>()

    /** Requests and prefills that arrived, by the shared parts of their prompts. */
    val partArrivals = HashMap<RequestTrait, ArrayList<Moment>>()

    /** Crashes of engines, by the part that caused them. */
    val crashes = HashMap<RequestTrait, ArrayList<Moment>>()

    /** Called when the upstream [UpstreamName] is back, with the number of its start. */
    var onRestarted: (UpstreamName, Long) -> Unit = { _, _ -> }

    /** Ends all calls at [name], which starts anew after [downTime]. */
    fun crash(name: UpstreamName, downTime: Duration = 4.seconds) {
        if (isDown(name)) return
        downUntil[name] = scheduler.now() + downTime
        val start = (startCounts[name] ?: 0) + 1
        startCounts[name] = start
        val failure = CallFailure(FaultCause.CONNECTION_LOST, sent = true, "the engine crashed")
        runningCalls.remove(name).orEmpty().forEach { it.onFailure(failure) }
        scheduler.schedule(downTime) { onRestarted(name, start) }
    }

    private fun isDown(name: UpstreamName): Boolean = downUntil[name]?.let { scheduler.now() < it } ?: false

    private fun recordParts(request: ForwardRequest) {
        val parts = request.generation?.sharedParts.orEmpty()
        (parts + RequestTrait(request.target)).forEach { partArrivals.getOrPut(it) { ArrayList() } += scheduler.now() }
    }

    private val toldAt = HashMap<UpstreamName, HashMap<ProcessName, Moment>>()

    /** Lets [name] name the value of [limit] in each answer from now on. */
    fun nameLimit(name: UpstreamName, limit: () -> Double) {
        limits[name] = limit
    }

    fun endLimit(name: UpstreamName) {
        limits.remove(name)
    }

    /** Entry [name] was restarted or frozen, which excuses it until it is told of a limit again. */
    fun forgetTold(name: ProcessName) {
        toldAt.values.forEach { it.remove(name) }
    }

    private fun isBound(name: ProcessName, upstream: UpstreamName): Boolean {
        val told = toldAt[upstream]?.get(name) ?: return false
        return scheduler.now() - told >= NOTICE_DELAY
    }

    fun connect(entry: FleetEntry): UpstreamPort = Connection(entry)

    private fun slowdown(name: UpstreamName) = behaviour.slowdown(name, runningCalls[name]?.size ?: 0)

    private fun latency(): Duration = (0.5 + 2.5 * random.nextDouble()).milliseconds

    private companion object {
        /** Time after which an entry that was told of a limit is bound by it. */
        val NOTICE_DELAY: Duration = 500.milliseconds
        val SUCCESS = AnswerHead(200, emptyList(), isDeclined = false, isWrongInstance = false, null)
    }

    private inner class Connection(private val entry: FleetEntry) : UpstreamPort {
        private val start = entry.startCount
        private var nextNumber = 0

        override fun send(request: ForwardRequest, attempt: UpstreamAttempt, receiver: AnswerReceiver): Cancellable {
            val held = attempt.reservation?.let { memory?.use(attempt.upstream.name, it.id) }
            val running = EntryReceiver(receiver) { held?.invoke() }
            if (isDown(attempt.upstream.name)) {
                scheduler.schedule(latency()) {
                    running.onFailure(CallFailure(FaultCause.UNREACHABLE, sent = false, "connection refused"))
                }
                return Cancellable { running.isEnded = true }
            }
            val callsThere = runningCalls.getOrPut(attempt.upstream.name) { LinkedHashSet() }
            callsThere += running
            scheduler.schedule(latency()) { recordParts(request) }
            call(attempt.upstream, behaviour.serviceTime * (0.5 + random.nextDouble()), running) {
                write(request, attempt.upstream.name, running, number = 1)
            }
            return Cancellable {
                callsThere -= running
                running.isEnded = true
                held?.invoke()
            }
        }

        /** Writes the answer from its event [number] on, unless the engine crashes before that event. */
        private fun write(request: ForwardRequest, engine: UpstreamName, running: EntryReceiver, number: Int) {
            if (running.isEnded) return
            if (memory?.decliningEngines?.contains(engine) == true) {
                runningCalls[engine]?.remove(running)
                decline(running)
                return
            }
            if (number == behaviour.eventsBeforeCrash + 1 && crashesOn(request, engine)) return
            if (number >= behaviour.answerEvents) {
                runningCalls[engine]?.remove(running)
                answer(running, number)
                return
            }
            if (number == 1) running.onHead(SUCCESS)
            running.onContent(event(number))
            scheduler.schedule(behaviour.eventInterval * slowdown(engine)) {
                entry.runWhenAwake(start) { write(request, engine, running, number + 1) }
            }
        }

        private fun event(number: Int) = "id: $number\ndata: a\n\n".encodeToByteArray()

        private fun crashesOn(request: ForwardRequest, engine: UpstreamName): Boolean {
            val part = request.generation?.sharedParts.orEmpty().firstOrNull { it in deadlyParts }
                ?: RequestTrait(request.target).takeIf { it.text in deadlyTargets }
                ?: return false
            crashes.getOrPut(part) { ArrayList() } += scheduler.now()
            crash(engine)
            return true
        }

        /** Passes an answer to the entry unless the call has ended or the entry was restarted. */
        private inner class EntryReceiver(private val receiver: AnswerReceiver, private val onEnded: () -> Unit) :
            AnswerReceiver {
            var isEnded = false

            override fun onHead(head: AnswerHead) = passOn { receiver.onHead(head) }

            override fun onContent(bytes: ByteArray) = passOn { receiver.onContent(bytes) }

            override fun onEnd() = passOn {
                isEnded = true
                onEnded()
                receiver.onEnd()
            }

            override fun onFailure(failure: CallFailure) = passOn {
                isEnded = true
                onEnded()
                entry.runWhenAwake(start) { receiver.onFailure(failure) }
            }

            private fun passOn(action: () -> Unit) {
                if (!isEnded && start == entry.startCount) action()
            }
        }

        override fun prefill(
            request: ForwardRequest,
            attempt: UpstreamAttempt,
            answer: (EngineAnswer<PrefillResult>) -> Unit,
        ): Cancellable {
            var isCancelled = false
            scheduler.schedule(latency()) { recordParts(request) }
            call(attempt.upstream, behaviour.serviceTime * slowdown(attempt.upstream.name)) {
                val result = PrefillResult(attempt.upstream, "handle-${nextNumber++}")
                if (!isCancelled) answer(EngineAnswer.Done(result))
            }
            return Cancellable { isCancelled = true }
        }

        override fun reserve(
            engine: UpstreamIncarnation,
            tokens: Int,
            reservationTime: Duration,
            answer: (EngineAnswer<Reservation>) -> Unit,
        ): Cancellable {
            var isCancelled = false
            val failure = CallFailure(FaultCause.UNREACHABLE, sent = false, "connection refused")
            val refused = EngineAnswer.Failed(failure).takeIf { isDown(engine.name) }
            val name = "reservation-${entry.name}-$start-${nextNumber++}"
            val isTaken = memory?.take(engine.name, name, tokens, entry, reservationTime) ?: true
            val done = if (isTaken) EngineAnswer.Done(Reservation(name)) else EngineAnswer.Refused(503, false)
            val answered = refused ?: done
            call(engine, Duration.ZERO) { if (!isCancelled) answer(answered) }
            return Cancellable { isCancelled = true }
        }

        override fun releaseReservation(engine: UpstreamIncarnation, reservation: Reservation) {
            memory?.free(engine.name, reservation.id)
            call(engine, Duration.ZERO) {}
        }

        override fun checkRunning(
            upstream: UpstreamIncarnation,
            healthPath: String?,
            answer: (Boolean) -> Unit,
        ): Cancellable {
            var isCancelled = false
            val isRunning = !isDown(upstream.name)
            call(upstream, Duration.ZERO) { if (!isCancelled) answer(isRunning) }
            return Cancellable { isCancelled = true }
        }

        override fun freePrefillResult(result: PrefillResult) = call(result.engine, Duration.ZERO) {}

        private fun decline(receiver: AnswerReceiver) {
            receiver.onHead(AnswerHead(503, emptyList(), isDeclined = true, isWrongInstance = false, null))
            receiver.onEnd()
        }

        private fun answer(receiver: AnswerReceiver, number: Int = 1) {
            val share = random.nextDouble()
            when {
                share < behaviour.declinedShare -> decline(receiver)
                share < behaviour.declinedShare + behaviour.lostAnswerShare ->
                    receiver.onFailure(CallFailure(FaultCause.CONNECTION_LOST, sent = true, "reset"))
                else -> {
                    if (number == 1) receiver.onHead(SUCCESS)
                    receiver.onContent(event(number))
                    receiver.onEnd()
                }
            }
        }

        private fun call(
            upstream: UpstreamIncarnation,
            serviceTime: Duration,
            receiver: AnswerReceiver? = null,
            onAnswer: () -> Unit,
        ) {
            scheduler.schedule(latency()) {
                arrivals += Arrival(scheduler.now(), upstream.name, isBound(entry.name, upstream.name))
                val slowdown = if (receiver == null) 1.0 else slowdown(upstream.name)
                scheduler.schedule(serviceTime * slowdown) {
                    sendAnswer(upstream, limits[upstream.name]?.invoke(), onAnswer)
                }
            }
        }

        private fun sendAnswer(upstream: UpstreamIncarnation, limit: Double?, onAnswer: () -> Unit) {
            scheduler.schedule(latency()) {
                entry.runWhenAwake(start) {
                    val notice = limit?.let { RequestLimitNotice.Named(it) } ?: RequestLimitNotice.NotNamed
                    if (limit != null) {
                        toldAt.getOrPut(upstream.name) { HashMap() }.putIfAbsent(entry.name, scheduler.now())
                    }
                    entry.forwarder.onUpstreamNotice(upstream, UpstreamNotice(requestLimit = notice))
                    onAnswer()
                }
            }
        }
    }
}

/** One entry of a fleet, which can be restarted and frozen. */
internal class FleetEntry(val name: ProcessName, private val fleet: EntryFleet) {
    private var frozenUntil = Moment(0)

    /** Time after which the process sees a report on prompts. */
    val registryDelay: Duration = fleet.random.nextInt(300).milliseconds
    var isCutFromRegistry = false
        private set
    var startCount = 0
        private set
    lateinit var forwarder: Forwarder
        private set

    /** Starts the process anew; it knows what the registry holds, or nothing if it is cut off from the registry. */
    fun restart() {
        startCount += 1
        val start = startCount
        val scheduler =
            object : Scheduler {
                override fun now() = fleet.scheduler.now()

                override fun schedule(delay: Duration, action: () -> Unit) =
                    fleet.scheduler.schedule(delay) { runWhenAwake(start, action) }
            }
        forwarder =
            Forwarder(
                settings = ForwarderSettings(
                    name = name,
                    place = ForwardFixture.HOME,
                    retryLimits = RetryLimits(0.2, sharedRetriesPerWindow = 52.0, window = 10.seconds),
                    learnCapacity = fleet.learnCapacity,
                    coordinateMemoryFrom = fleet.memory?.coordinateFrom ?: 0,
                ),
                upstreamPort = fleet.upstreams.connect(this),
                scheduler = scheduler,
                log = { fleet.memory?.recordEvent(it) },
                random = Random(fleet.random.nextLong()),
                messages = { recipient, message ->
                    fleet.memory?.network?.send(this, recipient, message) ?: fleet.deliver(name, recipient, message)
                },
            )
        fleet.memory?.freeAllOf(this)
        forwarder.startCapacityReports()
        fleet.upstreams.forgetTold(name)
        forwarder.startLimitReports { upstream, limit, answer -> fleet.report(this, upstream, limit, answer) }
        forwarder.startPromptReports(FleetPromptReports(this, fleet))
        if (!isCutFromRegistry) readRegistry()
    }

    /** Tells the process of [report], unless it is cut off from the registry. */
    fun observe(report: RegistryChange.RequestLimitReported) {
        if (!isCutFromRegistry) forwarder.onRegistryChange(report)
    }

    /** Tells the process of [report], unless it is cut off from the registry. */
    fun observe(report: PromptReport) {
        val start = startCount
        if (isCutFromRegistry) return
        runWhenAwake(start) { forwarder.onRegistryChange(RegistryChange.PromptReported(report)) }
    }

    /** Tells the process what the registry says of [other], unless it is cut off from the registry. */
    fun observe(other: ProcessName, isRegistered: Boolean) {
        if (isCutFromRegistry) return
        val address = Address("10.1.0.1", 1).takeIf { isRegistered && (fleet.memory != null || fleet.hasMessages) }
        forwarder.onRegistryChange(RegistryChange.EntryRegistrationChanged(other, isRegistered, address))
    }

    /** The process gets no news of the registry any more. */
    fun cutFromRegistry() {
        isCutFromRegistry = true
        fleet.scheduler.schedule(3_800.milliseconds) { forwarder.onRegistryChange(RegistryChange.Unavailable()) }
    }

    /** The registry is available again, and the process reads all of it. */
    fun reconnect() {
        isCutFromRegistry = false
        forwarder.onRegistryChange(RegistryChange.Available())
        readRegistry()
    }

    private fun readRegistry() {
        forwarder.applyConfiguration(
            fleet.memory?.configuration ?: ForwardFixture.configuration(plainConnections = null),
        )
        forwarder.onRegistryChange(RegistryChange.FullRead(fleet.registrations))
        fleet.registeredNames.forEach { observe(it, isRegistered = true) }
        fleet.reports.forEach(::observe)
        fleet.promptReports.forEach(::observe)
    }

    /** Stops the process for [duration]; what becomes due meanwhile happens afterwards. */
    fun freeze(duration: Duration) {
        frozenUntil = fleet.scheduler.now() + duration
        fleet.upstreams.forgetTold(name)
    }

    /** Runs [action] unless the process was restarted since [start]. */
    fun runWhenAwake(start: Int, action: () -> Unit) {
        val now = fleet.scheduler.now()
        when {
            start != startCount -> Unit
            now < frozenUntil -> fleet.scheduler.schedule(frozenUntil - now) { runWhenAwake(start, action) }
            else -> action()
        }
    }
}

/** Stores reports on prompts for all entries of [fleet], each of which sees them within 300 ms. */
private class FleetPromptReports(private val entry: FleetEntry, private val fleet: EntryFleet) : PromptReportPort {
    override fun report(reports: List<PromptReport>, answer: (Boolean) -> Unit) {
        if (entry.isCutFromRegistry) {
            fleet.scheduler.schedule(800.milliseconds) { answer(false) }
            return
        }
        reports.forEach(fleet::storePromptReport)
        fleet.scheduler.schedule(10.milliseconds) { answer(true) }
    }

    override fun claimTrials(trials: List<PromptReport.Trial>, answer: (Boolean) -> Unit) {
        val isFree = !entry.isCutFromRegistry && trials.none { it in fleet.promptReports }
        if (isFree) trials.forEach(fleet::storePromptReport)
        val start = entry.startCount
        fleet.scheduler.schedule(10.milliseconds) { entry.runWhenAwake(start) { answer(isFree) } }
    }
}

/**
 * Entries, upstreams and callers under virtual time. Callers begin [warmUp] after the entries. Equal [seed]s give equal
 * runs.
 */
internal class EntryFleet(
    entryCount: Int,
    seed: Int,
    behaviour: UpstreamBehaviour = UpstreamBehaviour(),
    warmUp: Duration = 15.seconds,
    val registrations: List<UpstreamRegistration> = REGISTRATIONS,
    val learnCapacity: Boolean = false,
    val memory: FleetMemory? = null,
    val hasMessages: Boolean = false,
) {
    val scheduler = VirtualScheduler()
    val random = Random(seed)
    val upstreams = FleetUpstreams(scheduler, random, behaviour, memory)
    val registeredNames = LinkedHashSet<ProcessName>()
    val entries = ArrayList<FleetEntry>()
    val reports = ArrayList<RegistryChange.RequestLimitReported>()
    val promptReports = LinkedHashSet<PromptReport>()
    val replies = ArrayList<RecordingReply>()

    init {
        memory?.start(this)
        repeat(entryCount) { registeredNames += ProcessName("entry-$it") }
        registeredNames.forEach { entries += FleetEntry(it, this) }
        upstreams.onRestarted = ::restartUpstream
        entries.forEach { it.restart() }
        scheduler.advance(warmUp)
    }

    /** Reconnects the entries that are cut off; all see each other register anew. */
    fun reconnect() {
        val returning = entries.filter { it.isCutFromRegistry }
        returning.forEach { registeredNames += it.name }
        returning.forEach { it.reconnect() }
        (entries - returning.toSet()).forEach { entry ->
            returning.forEach { entry.observe(it.name, isRegistered = true) }
        }
    }

    /** Upstream [name] starts anew under its name, and all entries that are not cut off see it register. */
    fun restartUpstream(name: UpstreamName, startedAt: Long) {
        val registration = registrations.single { it.name == name }
        val restarted = registration.copy(startedAt = startedAt, revision = startedAt)
        entries.filterNot { it.isCutFromRegistry }.forEach { entry ->
            entry.forwarder.onRegistryChange(RegistryChange.Registered(restarted))
        }
    }

    /** One of [names] crashes every few seconds. */
    fun crashNowAndThen(names: List<UpstreamName>) = repeat(12) { number ->
        scheduler.schedule((number * 4.3).seconds) { upstreams.crash(names.random(random)) }
    }

    /** All of [names] crash, three times. */
    fun crashAll(names: List<UpstreamName>) = listOf(3, 20, 26).forEach { second ->
        scheduler.schedule(second.seconds) { names.forEach { upstreams.crash(it) } }
    }

    /** An entry is restarted every few seconds. */
    fun restartEntries() = repeat(10) { number ->
        scheduler.schedule((2 + number * 3).seconds) { entries.random(random).restart() }
    }

    /** Adds a process whose registration the others see within 300 ms. */
    fun add() {
        val added = FleetEntry(ProcessName("entry-${entries.size}"), this)
        registeredNames += added.name
        added.restart()
        entries.toList().forEach { entry ->
            scheduler.schedule(random.nextInt(300).milliseconds) { entry.observe(added.name, isRegistered = true) }
        }
        entries += added
    }

    /**
     * Cuts [cut] off from the registry for good. Their leases of 6 s were last renewed 2.4 s before, and they detect the
     * cut when a watch of 3 s and the time for its answer are over.
     */
    fun cutFromRegistry(cut: List<FleetEntry>) {
        cut.forEach { it.cutFromRegistry() }
        scheduler.schedule(3_600.milliseconds) {
            cut.forEach { registeredNames -= it.name }
            cut.forEach { ended -> entries.forEach { it.observe(ended.name, isRegistered = false) } }
        }
    }

    /** Passes [message] on after a millisecond. */
    fun deliver(sender: ProcessName, recipient: ProcessName, message: EntryMessage) {
        val entry = entries.firstOrNull { it.name == recipient } ?: return
        scheduler.schedule(1.milliseconds) {
            entry.runWhenAwake(entry.startCount) { entry.forwarder.onEntryMessage(sender, message) }
        }
    }

    /** Stores a report of [from]; the other entries see it within 300 ms. */
    fun report(from: FleetEntry, upstream: UpstreamName, limit: Double?, answer: (Boolean) -> Unit) {
        if (from.isCutFromRegistry) {
            scheduler.schedule(800.milliseconds) { answer(false) }
            return
        }
        val report = RegistryChange.RequestLimitReported(upstream, limit)
        reports.removeIf { it.name == upstream }
        reports += report
        scheduler.schedule(5.milliseconds) { answer(true) }
        entries.toList().forEach { entry ->
            scheduler.schedule(random.nextInt(300).milliseconds) { entry.observe(report) }
        }
    }

    fun storePromptReport(report: PromptReport) {
        if (report is PromptReport.Sound) {
            promptReports.removeIf { it.part == report.part && it !is PromptReport.Crash }
        }
        promptReports -= report
        promptReports += report
        entries.forEach { entry -> scheduler.schedule(entry.registryDelay) { entry.observe(report) } }
    }

    /** Lets callers send requests to [targets] at random times, [requestsPerSecond] in all, for [duration]. */
    fun run(duration: Duration, requestsPerSecond: Double, targets: List<String>) {
        val until = scheduler.now() + duration
        while (scheduler.now() < until) {
            scheduler.advance((2 * random.nextDouble() / requestsPerSecond).seconds)
            submit(targets[random.nextInt(targets.size)])
        }
    }

    /** Submits a request for [target] to any entry; a stream has [generation]. */
    fun submit(
        target: String,
        generation: Generation = ForwardFixture.GENERATION,
        callerTimeout: Duration = 3.seconds,
        entry: FleetEntry = entries[random.nextInt(entries.size)],
        key: CustomerKey? = null,
    ): RecordingReply {
        val reply = RecordingReply(scheduler::now)
        replies += reply
        val id = RequestId("request-${replies.size}")
        val request = ForwardFixture.request(id, target, scheduler.now(), callerTimeout, generation, key = key)
        entry.runWhenAwake(entry.startCount) { entry.forwarder.forward(request, reply) }
        return reply
    }

    companion object {
        val REGISTRATIONS: List<UpstreamRegistration> = registrations(decodeEngines = 3)

        /** [plain] plain upstreams, two prefill engines and [decodeEngines] decode engines. */
        fun registrations(decodeEngines: Int, plain: Int = 4): List<UpstreamRegistration> =
            (1..plain).map { ForwardFixture.registration("plain-$it", ForwardFixture.PLAIN, PoolRole.PLAIN, it) } +
                (1..2).map { engine("prefill-$it", PoolRole.PREFILL, 10 + it) } +
                (1..decodeEngines).map { engine("decode-$it", PoolRole.DECODE, 20 + it) }

        private fun engine(name: String, role: PoolRole, host: Int) =
            ForwardFixture.registration(name, ForwardFixture.ENGINES, role, host)
    }
}
