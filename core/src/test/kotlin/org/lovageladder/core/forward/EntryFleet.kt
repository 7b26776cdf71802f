package org.lovageladder.core.forward

import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ProcessName
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How upstreams treat requests, as shares of them from 0 to 1. */
internal data class UpstreamBehaviour(
    val declinedShare: Double = 0.0,
    val lostAnswerShare: Double = 0.0,
    val serviceTime: Duration = 40.milliseconds,
)

/**
 * A call that reached [upstream]. [isBound] is set when its entry was told of a limit of [upstream] half a second
 * before or earlier, and not restarted or frozen since.
 */
internal class Arrival(val at: Moment, val upstream: UpstreamName, val isBound: Boolean)

/**
 * One model of the upstreams for all entries of a fleet. An upstream with a limit names it in each answer. Engines
 * always have memory.
 */
internal class FleetUpstreams(
    private val scheduler: VirtualScheduler,
    private val random: Random,
    private val behaviour: UpstreamBehaviour,
) {
    private val limits = HashMap<UpstreamName, () -> Double>()
    val arrivals = ArrayList<Arrival>()

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

    private fun latency(): Duration = (0.5 + 2.5 * random.nextDouble()).milliseconds

    private companion object {
        /** Time after which an entry that was told of a limit is bound by it. */
        val NOTICE_DELAY: Duration = 500.milliseconds
    }

    private inner class Connection(private val entry: FleetEntry) : UpstreamPort {
        private val start = entry.startCount
        private var nextNumber = 0

        override fun send(request: ForwardRequest, attempt: UpstreamAttempt, receiver: AnswerReceiver): Cancellable {
            var isCancelled = false
            call(attempt.upstream, behaviour.serviceTime * (0.5 + random.nextDouble())) {
                if (!isCancelled) answer(receiver)
            }
            return Cancellable { isCancelled = true }
        }

        override fun prefill(
            request: ForwardRequest,
            attempt: UpstreamAttempt,
            answer: (EngineAnswer<PrefillResult>) -> Unit,
        ): Cancellable {
            var isCancelled = false
            call(attempt.upstream, behaviour.serviceTime) {
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
            call(engine, Duration.ZERO) {
                if (!isCancelled) answer(EngineAnswer.Done(Reservation("reservation-${nextNumber++}")))
            }
            return Cancellable { isCancelled = true }
        }

        override fun releaseReservation(engine: UpstreamIncarnation, reservation: Reservation) =
            call(engine, Duration.ZERO) {}

        override fun freePrefillResult(result: PrefillResult) = call(result.engine, Duration.ZERO) {}

        private fun answer(receiver: AnswerReceiver) {
            val share = random.nextDouble()
            when {
                share < behaviour.declinedShare -> {
                    receiver.onHead(AnswerHead(503, emptyList(), isDeclined = true, isWrongInstance = false, null))
                    receiver.onEnd()
                }
                share < behaviour.declinedShare + behaviour.lostAnswerShare ->
                    receiver.onFailure(CallFailure(FaultCause.CONNECTION_LOST, sent = true, "reset"))
                else -> {
                    receiver.onHead(AnswerHead(200, emptyList(), isDeclined = false, isWrongInstance = false, null))
                    receiver.onContent("id: 1\ndata: a\n\n".encodeToByteArray())
                    receiver.onEnd()
                }
            }
        }

        private fun call(upstream: UpstreamIncarnation, serviceTime: Duration, onAnswer: () -> Unit) {
            scheduler.schedule(latency()) {
                arrivals += Arrival(scheduler.now(), upstream.name, isBound(entry.name, upstream.name))
                scheduler.schedule(serviceTime) { sendAnswer(upstream, limits[upstream.name]?.invoke(), onAnswer) }
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
                ),
                upstreamPort = fleet.upstreams.connect(this),
                scheduler = scheduler,
                log = {},
                random = Random(fleet.random.nextLong()),
            )
        fleet.upstreams.forgetTold(name)
        forwarder.startLimitReports { upstream, limit, answer -> fleet.report(this, upstream, limit, answer) }
        if (!isCutFromRegistry) readRegistry()
    }

    /** Tells the process of [report], unless it is cut off from the registry. */
    fun observe(report: RegistryChange.RequestLimitReported) {
        if (!isCutFromRegistry) forwarder.onRegistryChange(report)
    }

    /** Tells the process what the registry says of [other], unless it is cut off from the registry. */
    fun observe(other: ProcessName, isRegistered: Boolean) {
        if (isCutFromRegistry) return
        forwarder.onRegistryChange(RegistryChange.EntryRegistrationChanged(other, isRegistered))
    }

    /** The process gets no news of the registry any more. */
    fun cutFromRegistry() {
        isCutFromRegistry = true
        fleet.scheduler.schedule(3_800.milliseconds) { forwarder.onRegistryChange(RegistryChange.Unavailable) }
    }

    /** The registry is available again, and the process reads all of it. */
    fun reconnect() {
        isCutFromRegistry = false
        forwarder.onRegistryChange(RegistryChange.Available)
        readRegistry()
    }

    private fun readRegistry() {
        forwarder.applyConfiguration(ForwardFixture.configuration(plainConnections = null))
        forwarder.onRegistryChange(RegistryChange.FullRead(EntryFleet.REGISTRATIONS))
        fleet.registeredNames.forEach { observe(it, isRegistered = true) }
        fleet.reports.forEach(::observe)
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

/**
 * Entries, upstreams and callers under virtual time. Callers begin [warmUp] after the entries. Equal [seed]s give equal
 * runs.
 */
internal class EntryFleet(
    entryCount: Int,
    seed: Int,
    behaviour: UpstreamBehaviour = UpstreamBehaviour(),
    warmUp: Duration = 15.seconds,
) {
    val scheduler = VirtualScheduler()
    val random = Random(seed)
    val upstreams = FleetUpstreams(scheduler, random, behaviour)
    val registeredNames = LinkedHashSet<ProcessName>()
    val entries = ArrayList<FleetEntry>()
    val reports = ArrayList<RegistryChange.RequestLimitReported>()
    val replies = ArrayList<RecordingReply>()

    init {
        repeat(entryCount) { registeredNames += ProcessName("entry-$it") }
        registeredNames.forEach { entries += FleetEntry(it, this) }
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
        val registration = REGISTRATIONS.single { it.name == name }
        val restarted = registration.copy(startedAt = startedAt, revision = startedAt)
        entries.filterNot { it.isCutFromRegistry }.forEach { entry ->
            entry.forwarder.onRegistryChange(RegistryChange.Registered(restarted))
        }
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

    /** Lets callers send requests to [targets] at random times, [requestsPerSecond] in all, for [duration]. */
    fun run(duration: Duration, requestsPerSecond: Double, targets: List<String>) {
        val until = scheduler.now() + duration
        while (scheduler.now() < until) {
            scheduler.advance((2 * random.nextDouble() / requestsPerSecond).seconds)
            submit(targets[random.nextInt(targets.size)])
        }
    }

    private fun submit(target: String) {
        val entry = entries[random.nextInt(entries.size)]
        val reply = RecordingReply()
        replies += reply
        val id = RequestId("request-${replies.size}")
        val request = ForwardFixture.request(id, target, scheduler.now(), callerTimeout = 3.seconds)
        entry.runWhenAwake(entry.startCount) { entry.forwarder.forward(request, reply) }
    }

    companion object {
        val REGISTRATIONS: List<UpstreamRegistration> =
            listOf(1, 2, 3, 4).map {
                ForwardFixture.registration("plain-$it", ForwardFixture.PLAIN, PoolRole.PLAIN, it)
            } + listOf(1, 2).map {
                ForwardFixture.registration(
                    "prefill-$it",
                    ForwardFixture.ENGINES,
                    PoolRole.PREFILL,
                    10 + it,
                )
            } + listOf(1, 2, 3).map {
                ForwardFixture.registration(
                    "decode-$it",
                    ForwardFixture.ENGINES,
                    PoolRole.DECODE,
                    20 + it,
                )
            }
    }
}
