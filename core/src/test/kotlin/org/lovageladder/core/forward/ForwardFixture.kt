package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Moment
import org.lovageladder.core.PlaceName
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ProcessName
import org.lovageladder.core.RequestId
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.customer.CustomerKey
import org.lovageladder.core.forward.messaging.EntryMessagePort
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Virtual time: actions run in order of their time when the clock is advanced. */
internal class VirtualScheduler : Scheduler {
    private class ScheduledAction(val at: Moment, val order: Long, val action: () -> Unit)

    private val scheduled = PriorityQueue(compareBy<ScheduledAction>({ it.at.microseconds }, { it.order }))
    private var time = Moment(0)
    private var nextOrder = 0L

    override fun now(): Moment = time

    override fun schedule(delay: Duration, action: () -> Unit): Cancellable {
        val entry = ScheduledAction(time + delay, nextOrder++, action)
        scheduled.add(entry)
        return Cancellable { scheduled.remove(entry) }
    }

    /** Advances the clock by [duration] and runs the actions that become due. */
    fun advance(duration: Duration) {
        val until = time + duration
        while (scheduled.isNotEmpty() && scheduled.peek().at <= until) {
            val next = scheduled.poll()
            time = next.at
            next.action()
        }
        time = until
    }
}

/** A request as an upstream received it, on a connection numbered by its port; the test sends the answer. */
internal class ReceivedCall(
    val request: ForwardRequest,
    val attempt: UpstreamAttempt,
    private val receiver: AnswerReceiver,
) {
    val place = CallPlace(attempt.address.port.toLong(), call = 1)
    var isCancelled = false
        private set

    fun cancel() {
        isCancelled = true
    }

    fun head(
        status: Int,
        isDeclined: Boolean = false,
        isWrongInstance: Boolean = false,
        isGenuine: Boolean = true,
        endsWithConnection: Boolean = false,
        headers: List<HeaderField> = emptyList(),
    ) {
        if (isCancelled) return
        val load = null
        val origin = AnswerOrigin(place, AnswerIdentifier.OWN, isSigned = isGenuine)
        receiver.onHead(
            AnswerHead(status, headers, isDeclined, isWrongInstance, load, isGenuine, endsWithConnection, origin),
        )
    }

    fun content(text: String) {
        if (!isCancelled) receiver.onContent(text.encodeToByteArray())
    }

    fun end() {
        if (!isCancelled) receiver.onEnd()
    }

    fun fail(sent: Boolean, place: CallPlace? = null) {
        if (!isCancelled) receiver.onFailure(CallFailure(FaultCause.CONNECTION_LOST, sent, "reset", place))
    }

    fun answer(status: Int, body: String = "", isDeclined: Boolean = false, isGenuine: Boolean = true) {
        head(status, isDeclined, isGenuine = isGenuine)
        if (body.isNotEmpty()) content(body)
        end()
    }
}

/** Upstreams that record calls. Each engine has memory for [memory] tokens; a prefill takes [prefillTime]. */
internal class FakeUpstreams(private val scheduler: VirtualScheduler, private val memory: Int = 10_000) :
    UpstreamPort {
    val receivedCalls = ArrayList<ReceivedCall>()
    val prefills = ArrayList<UpstreamAttempt>()
    val freed = ArrayList<PrefillResult>()
    val unreachable = HashSet<Address>()
    val prefillRefusals = HashSet<Address>()
    val ended = HashSet<Address>()
    val checked = ArrayList<UpstreamIncarnation>()
    var prefillTime = 100.milliseconds
    private val reserved = HashMap<Address, MutableMap<String, Int>>()
    private var nextNumber = 0
    val released = ArrayList<UpstreamIncarnation>()
    var reservationRequests = 0
        private set
    lateinit var lastReserved: UpstreamIncarnation
        private set

    val reservations: Int get() = reserved.values.sumOf { it.size }

    override fun send(request: ForwardRequest, attempt: UpstreamAttempt, receiver: AnswerReceiver): Cancellable {
        val call = ReceivedCall(request, attempt, receiver)
        if (attempt.address in unreachable) {
            scheduler.schedule(1.milliseconds) { call.fail(sent = false) }
        } else {
            receivedCalls += call
        }
        return Cancellable { call.cancel() }
    }

    override fun prefill(
        request: ForwardRequest,
        attempt: UpstreamAttempt,
        answer: (EngineAnswer<PrefillResult>) -> Unit,
    ): Cancellable {
        prefills += attempt
        if (attempt.address in prefillRefusals) {
            return scheduler.schedule(1.milliseconds) { answer(EngineAnswer.Refused(503, isWrongInstance = false)) }
        }
        return scheduler.schedule(prefillTime) {
            answer(EngineAnswer.Done(PrefillResult(attempt.upstream, "handle-${nextNumber++}")))
        }
    }

    override fun reserve(
        engine: UpstreamIncarnation,
        tokens: Int,
        reservationTime: Duration,
        answer: (EngineAnswer<Reservation>) -> Unit,
    ): Cancellable = scheduler.schedule(1.milliseconds) {
        reservationRequests += 1
        lastReserved = engine
        val reservationsOfEngine = reserved.getOrPut(engine.address) { HashMap() }
        if (reservationsOfEngine.values.sum() + tokens > memory) {
            answer(EngineAnswer.Refused(503, isWrongInstance = false))
        } else {
            val name = "reservation-${nextNumber++}"
            reservationsOfEngine[name] = tokens
            answer(EngineAnswer.Done(Reservation(name)))
        }
    }

    override fun releaseReservation(engine: UpstreamIncarnation, reservation: Reservation) {
        released += engine
        reserved[engine.address]?.remove(reservation.id)
    }

    override fun checkRunning(
        upstream: UpstreamIncarnation,
        healthPath: String?,
        answer: (Boolean) -> Unit,
    ): Cancellable {
        checked += upstream
        return scheduler.schedule(1.milliseconds) { answer(upstream.address !in ended) }
    }

    override fun freePrefillResult(result: PrefillResult) {
        freed += result
    }

    /** Ends the answer to [call] and frees its memory. */
    fun finish(call: ReceivedCall) {
        call.attempt.reservation?.let { releaseReservation(call.attempt.upstream, it) }
        call.end()
    }
}

/** Records what a caller received, when by [now], and checks the order of the calls. */
internal class RecordingReply(private val now: () -> Moment = { Moment(0) }) : CallerReply {
    private val createdAt = now()

    /** Time until the answer was complete; null until then. */
    var answerTime: Duration? = null
        private set
    var head: AnswerHead? = null
        private set
    var refusal: Refusal? = null
        private set
    val body = StringBuilder()
    var isComplete = false
        private set
    var isAborted = false
        private set

    val isFinal: Boolean get() = isComplete || isAborted || refusal != null

    override fun sendHead(head: AnswerHead, length: Int?) {
        check(this.head == null && !isFinal)
        this.head = head
    }

    override fun sendContent(bytes: ByteArray) {
        check(head != null && !isFinal)
        body.append(bytes.decodeToString())
    }

    override fun finish() {
        check(head != null && !isFinal)
        isComplete = true
        answerTime = now() - createdAt
    }

    override fun refuse(refusal: Refusal) {
        check(head == null && !isFinal)
        this.refusal = refusal
    }

    override fun abort() {
        check(!isFinal)
        isAborted = true
    }
}

/** A forwarder with fake upstreams, one configuration and one set of registered upstreams. */
internal class ForwardFixture(
    memory: Int = 10_000,
    messagePort: EntryMessagePort = EntryMessagePort { _, _ -> },
    upstreamBodyBytes: Int = 1_000_000,
    wrapCalls: (UpstreamPort) -> UpstreamPort = { it },
) {
    val scheduler = VirtualScheduler()
    val upstreams = FakeUpstreams(scheduler, memory)
    val events = ArrayList<org.lovageladder.core.EventDraft>()
    val forwarder =
        Forwarder(
            settings = ForwarderSettings(
                name = ProcessName("entry"),
                place = HOME,
                retryLimits = RetryLimits(retriesPerRequest = 0.2, sharedRetriesPerWindow = 8.0, window = 10.seconds),
                upstreamBodyBytes = upstreamBodyBytes,
            ),
            upstreamPort = wrapCalls(upstreams),
            scheduler = scheduler,
            log = { events += it },
            random = Random(1),
            messages = messagePort,
        )
    private var requests = 0

    init {
        forwarder.applyConfiguration(configuration())
        forwarder.onRegistryChange(RegistryChange.FullRead(REGISTRATIONS))
        forwarder.onRegistryChange(RegistryChange.EntryRegistrationChanged(ProcessName("entry"), isRegistered = true))
        scheduler.advance(TIME_TO_FULL_RETRY_BUDGET)
    }

    /** Submits a request for [target]. Returns its reply and the handle with which the caller disconnects. */
    fun submit(
        target: String,
        callerTimeout: Duration? = null,
        generation: Generation? = GENERATION,
        resumeAfterEventId: EventId? = null,
        key: CustomerKey? = null,
    ): Submitted {
        val reply = RecordingReply()
        val id = RequestId("request-${requests++}")
        val request = request(id, target, scheduler.now(), callerTimeout, generation, resumeAfterEventId, key)
        return Submitted(reply, forwarder.forward(request, reply))
    }

    class Submitted(val reply: RecordingReply, val handle: RequestHandle?)

    companion object {
        /** A started entry counts as joining for 14 s, and half of its allowance comes in 10 s. */
        val TIME_TO_FULL_RETRY_BUDGET = 24.seconds
        val HOME = PlaceName("home")
        val PLAIN = ServiceName("desk")
        val ENGINES = ServiceName("model")
        val GENERATION = Generation(promptTokens = 3_000, maximumOutputTokens = 1_000, estimatedOutputTokens = 1_000)
        val REGISTRATIONS =
            listOf(
                registration("plain-1", PLAIN, PoolRole.PLAIN, 1),
                registration("plain-2", PLAIN, PoolRole.PLAIN, 2),
                registration("prefill-1", ENGINES, PoolRole.PREFILL, 3),
                registration("decode-1", ENGINES, PoolRole.DECODE, 4),
                registration("decode-2", ENGINES, PoolRole.DECODE, 5),
            )

        /** A request for [target]; only streams have a generation. Those for a target of `/x` differ in their bodies. */
        fun request(
            id: RequestId,
            target: String,
            arrivedAt: Moment,
            callerTimeout: Duration?,
            generation: Generation? = GENERATION,
            resumeAfterEventId: EventId? = null,
            key: CustomerKey? = null,
        ) = ForwardRequest(
            id = id,
            method = "POST",
            target = target,
            host = "desk.example",
            headers = emptyList(),
            body = if (target.endsWith("/x")) id.text.encodeToByteArray() else ByteArray(0),
            arrivedAt = arrivedAt,
            callerTimeout = callerTimeout,
            generation = generation.takeIf { target.startsWith("/stream") },
            resumeAfterEventId = resumeAfterEventId,
            key = key,
        )

        fun registration(name: String, service: ServiceName, role: PoolRole, port: Int, leaving: Boolean = false) =
            UpstreamRegistration(
                name = UpstreamName(name),
                service = service,
                address = Address("10.0.0.1", port),
                place = HOME,
                slots = 4,
                isLeaving = leaving,
                role = role,
                startedAt = null,
                revision = 1,
            )

        fun configuration(
            version: Long = 1,
            timeout: Duration = 10.seconds,
            plainConnections: Int? = 96,
        ): ForwardConfiguration = ForwardConfiguration(
            version = org.lovageladder.core.ReleaseVersion(version),
            routes =
            listOf(
                route("/lookup/", RouteKind.IDEMPOTENT, PLAIN, 100.milliseconds, timeout, attempts = 2),
                route("/action/", RouteKind.AT_MOST_ONCE, PLAIN, 100.milliseconds, timeout),
                route("/action-two/", RouteKind.AT_MOST_ONCE, PLAIN, 100.milliseconds, timeout, attempts = 2),
                route("/plain-stream/", RouteKind.STREAM, PLAIN, 900.milliseconds, timeout),
                route("/stream/", RouteKind.STREAM, ENGINES, 900.milliseconds, timeout),
                route(
                    "/stream-on/",
                    RouteKind.STREAM,
                    ENGINES,
                    900.milliseconds,
                    timeout,
                    attempts = 2,
                    isResumable = true,
                ),
            ),
            services =
            mapOf(
                PLAIN to ServiceConfiguration(PLAIN, plainConnections, engine = null),
                ENGINES to
                    ServiceConfiguration(
                        ENGINES,
                        96,
                        EngineConfiguration(4, 10_000, 500.milliseconds, 2.seconds, 6.seconds),
                    ),
            ),
            callerLimits = CallerLimits(16_384, 4_194_304, 3.seconds, 15.seconds),
        )

        private fun route(
            prefix: String,
            kind: RouteKind,
            service: ServiceName,
            latencyTarget: Duration,
            timeout: Duration,
            attempts: Int = 1,
            isResumable: Boolean = false,
        ) = Route(
            name = prefix,
            host = "desk.example",
            prefix = prefix,
            kind = kind,
            timeout = timeout,
            latencyTarget = latencyTarget,
            priority = 1,
            serviceShares = listOf(ServiceShare(service, 1)),
            maximumRuns = attempts,
            isResumable = isResumable,
        )
    }
}
