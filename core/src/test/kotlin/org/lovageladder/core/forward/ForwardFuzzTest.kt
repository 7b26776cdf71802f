package org.lovageladder.core.forward

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.customer.Customer
import org.lovageladder.core.forward.customer.CustomerDirectory
import org.lovageladder.core.forward.customer.CustomerKey
import org.lovageladder.core.forward.customer.CustomerName
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One step of a sequence. [selector] chooses among routes, calls, callers and upstreams; [amount] is a length or a
 * count.
 */
data class ForwardFuzzCommand(val kind: ForwardFuzzCommandKind, val selector: Int, val amount: Int)

enum class ForwardFuzzCommandKind {
    SUBMIT,
    SUBMIT_MANY,
    ANSWER,
    ANSWER_UNFRAMED,
    ANSWER_ERROR,
    DECLINE,
    LOSE_ANSWER,
    TRUNCATE_ANSWER,
    ANSWER_WITHOUT_PROOF,
    ANSWER_WRONG_INSTANCE,
    CALLER_DISCONNECTS,
    ADVANCE_TIME,
    MAKE_UNREACHABLE,
    MAKE_REACHABLE,
    REFUSE_PREFILLS,
    NOTICE_LEAVING,
    NOTICE_PAUSE,
    NOTICE_LIMIT,
    NOTICE_NO_LIMIT,
    REGISTER_LEAVING,
    REGISTER_SERVING,
    RESTART,
    REMOVE_REGISTRATION,
    REGISTRY_UNAVAILABLE,
    REGISTRY_AVAILABLE,
    CONFIGURE_NEWER,
    CONFIGURE_OLDER,
    DRAIN,
}

class ForwardFuzzTest : ForwardSequences() {
    @Property(seed = "20261204", tries = 10_000, shrinking = ShrinkingMode.BOUNDED)
    fun guaranteesToCallersAndUpstreamsHold(@ForAll("sequences") commands: List<ForwardFuzzCommand>) = check(commands)
}

/** The same property with fresh seeds, run by name only; `-Djqwik.tries.default` sets the number of sequences. */
class ForwardFreshFuzz : ForwardSequences() {
    @Property(shrinking = ShrinkingMode.BOUNDED)
    fun guaranteesToCallersAndUpstreamsHold(@ForAll("sequences") commands: List<ForwardFuzzCommand>) = check(commands)
}

/** Generates command sequences and runs them against a [ForwardOracle]. */
abstract class ForwardSequences {
    @Provide
    fun sequences(): Arbitrary<List<ForwardFuzzCommand>> = Combinators
        .combine(
            Arbitraries.of(ForwardFuzzCommandKind::class.java),
            Arbitraries.integers().between(0, 1_000),
            Arbitraries.integers().between(1, 3_000),
        ).`as` { kind, selector, amount -> ForwardFuzzCommand(kind, selector, amount) }
        .list()
        .ofMinSize(20)
        .ofMaxSize(60)

    internal fun check(commands: List<ForwardFuzzCommand>) {
        val run = FuzzRun()
        commands.forEach(run::execute)
        run.finish()
    }
}

/** Runs one sequence of commands against one forwarder. */
private class FuzzRun {
    private lateinit var oracle: ForwardOracle
    private val fixture = ForwardFixture(memory = 10_000) { calls ->
        ForwardOracle(calls).also { oracle = it }
    }
    private val submitted = ArrayList<ForwardFixture.Submitted>()
    private val registrations = ForwardFixture.REGISTRATIONS.associateByTo(LinkedHashMap()) { it.name }
    private var revision = 1L
    private var version = 1L
    private var highestVersion = ReleaseVersion.NONE

    init {
        oracle.clock = { fixture.scheduler.now() }
    }

    fun execute(command: ForwardFuzzCommand) {
        when (command.kind) {
            ForwardFuzzCommandKind.SUBMIT -> submit(command)
            ForwardFuzzCommandKind.SUBMIT_MANY -> repeat(1 + command.amount % MAXIMUM_BURST) { submit(command) }
            ForwardFuzzCommandKind.ANSWER -> answer(command) { answerCompletely(it) }
            ForwardFuzzCommandKind.ANSWER_UNFRAMED -> answer(command) {
                if (command.amount % 2 == 0) fixture.upstreams.ended += it.attempt.address
                answerCompletely(it, endsWithConnection = true)
            }
            ForwardFuzzCommandKind.ANSWER_ERROR -> answer(command) { it.answer(500, "error") }
            ForwardFuzzCommandKind.DECLINE -> decline(command, isWrongInstance = false)
            ForwardFuzzCommandKind.LOSE_ANSWER -> answer(command) { it.fail(sent = true) }
            ForwardFuzzCommandKind.TRUNCATE_ANSWER -> answer(command) {
                it.head(200)
                it.content("id: 1\ndata: a\n\nid: 2")
                it.fail(sent = true)
            }
            ForwardFuzzCommandKind.ANSWER_WITHOUT_PROOF -> answer(command) { it.answer(200, "x", isGenuine = false) }
            ForwardFuzzCommandKind.ANSWER_WRONG_INSTANCE -> decline(command, isWrongInstance = true)
            ForwardFuzzCommandKind.CALLER_DISCONNECTS -> disconnectCaller(command)
            ForwardFuzzCommandKind.ADVANCE_TIME -> fixture.scheduler.advance(command.amount.milliseconds)
            ForwardFuzzCommandKind.MAKE_UNREACHABLE -> fixture.upstreams.unreachable += registration(command).address
            ForwardFuzzCommandKind.MAKE_REACHABLE -> {
                fixture.upstreams.unreachable.clear()
                fixture.upstreams.ended.clear()
            }
            ForwardFuzzCommandKind.REFUSE_PREFILLS -> fixture.upstreams.prefillRefusals += registration(command).address
            ForwardFuzzCommandKind.NOTICE_LEAVING -> notice(command, UpstreamNotice(isLeaving = true))
            ForwardFuzzCommandKind.NOTICE_PAUSE -> notice(command, UpstreamNotice(pause = command.amount.milliseconds))
            ForwardFuzzCommandKind.NOTICE_LIMIT -> notice(command, limitNotice(command.amount / LIMIT_DIVISOR))
            ForwardFuzzCommandKind.NOTICE_NO_LIMIT ->
                notice(command, UpstreamNotice(requestLimit = RequestLimitNotice.NotNamed))
            ForwardFuzzCommandKind.REGISTER_LEAVING -> register(registration(command).copy(isLeaving = true))
            ForwardFuzzCommandKind.REGISTER_SERVING -> register(registration(command).copy(isLeaving = false))
            ForwardFuzzCommandKind.RESTART -> restart(command)
            ForwardFuzzCommandKind.REMOVE_REGISTRATION ->
                fixture.forwarder.onRegistryChange(RegistryChange.Removed(registration(command).name, ++revision))
            ForwardFuzzCommandKind.REGISTRY_UNAVAILABLE -> fixture.forwarder.onRegistryChange(
                RegistryChange.Unavailable(),
            )
            ForwardFuzzCommandKind.REGISTRY_AVAILABLE -> fixture.forwarder.onRegistryChange(RegistryChange.Available())
            ForwardFuzzCommandKind.DRAIN -> drain(command)
            ForwardFuzzCommandKind.CONFIGURE_NEWER -> configure(++version)
            ForwardFuzzCommandKind.CONFIGURE_OLDER -> configure((version - 1 - command.selector % 2).coerceAtLeast(1))
        }
        checkRequests()
    }

    /** Only some sequences drain, since little happens after it. */
    private fun drain(command: ForwardFuzzCommand) {
        if (command.selector % 10 != 0 || oracle.terminatedAt != null) return
        val grace = (command.amount + 200).milliseconds
        fixture.forwarder.drain(grace)
        oracle.terminatedAt = fixture.scheduler.now() + grace * 0.97
    }

    /** Lets every request end and checks the final state. */
    fun finish() {
        fixture.scheduler.advance(SETTLING_TIME)
        assertTrue(submitted.all { it.reply.isFinal || it in disconnected }, "a request has no final answer")
        assertEquals(0, fixture.forwarder.openRequests)
        oracle.checkBudget(submitted.size, fixture.scheduler.now())
        checkRequests()
    }

    private val disconnected = HashSet<ForwardFixture.Submitted>()

    private fun submit(command: ForwardFuzzCommand) {
        val target = TARGETS[command.selector % TARGETS.size]
        oracle.onSubmit(target)
        val key = KEYS[if (command.selector % 4 == 0) 1 else 0]
        submitted += fixture.submit(target, callerTimeout = (500 + command.amount).milliseconds, key = key)
    }

    private fun disconnectCaller(command: ForwardFuzzCommand) {
        val caller =
            submitted
                .filterNot { it.reply.isFinal || it in disconnected }
                .let { it.getOrNull(command.selector % (it.size + 1)) }
        if (caller == null) return
        disconnected += caller
        caller.handle?.onCallerDisconnected()
        oracle.onCallerDisconnected(submitted.indexOf(caller))
    }

    private fun answer(command: ForwardFuzzCommand, action: (ReceivedCall) -> Unit) {
        val unanswered = fixture.upstreams.receivedCalls.filterNot { it.isCancelled || it in answeredCalls }
        val call = unanswered.getOrNull(command.selector % (unanswered.size + 1)) ?: return
        answeredCalls += call
        action(call)
    }

    private val answeredCalls = HashSet<ReceivedCall>()

    private fun decline(command: ForwardFuzzCommand, isWrongInstance: Boolean) = answer(command) {
        oracle.onDeclined(it)
        it.head(if (isWrongInstance) 421 else 503, isDeclined = true, isWrongInstance = isWrongInstance)
        it.end()
    }

    private fun answerCompletely(call: ReceivedCall, endsWithConnection: Boolean = false) {
        call.head(200, endsWithConnection = endsWithConnection)
        call.content("id: 1\ndata: a\n\n")
        fixture.upstreams.finish(call)
    }

    private fun registration(command: ForwardFuzzCommand): UpstreamRegistration = registrations.values.elementAt(
        command.selector % registrations.size,
    )

    private fun register(registration: UpstreamRegistration) {
        val updated = registration.copy(revision = ++revision)
        registrations[registration.name] = updated
        fixture.forwarder.onRegistryChange(RegistryChange.Registered(updated))
    }

    private fun restart(command: ForwardFuzzCommand) {
        val restarted = registration(command).copy(isLeaving = false, startedAt = revision)
        register(restarted)
    }

    private fun notice(command: ForwardFuzzCommand, notice: UpstreamNotice) {
        val incarnation = registration(command).incarnation
        oracle.onNotice(incarnation, notice)
        fixture.forwarder.onUpstreamNotice(incarnation, notice)
    }

    private fun limitNotice(limit: Double) = UpstreamNotice(requestLimit = RequestLimitNotice.Named(limit))

    private fun configure(configurationVersion: Long) {
        val customers = CUSTOMERS[(configurationVersion % CUSTOMERS.size).toInt()]
        if (ReleaseVersion(configurationVersion) > fixture.forwarder.configurationVersion) oracle.customers = customers
        val configuration = ForwardFixture.configuration(version = configurationVersion)
        fixture.forwarder.applyConfiguration(configuration.copy(customers = customers))
        assertTrue(fixture.forwarder.configurationVersion >= highestVersion, "an older configuration was activated")
        highestVersion = fixture.forwarder.configurationVersion
    }

    private fun checkRequests() {
        if (oracle.isTerminated) assertEquals(0, fixture.forwarder.openRequests, "open when the process is terminated")
        submitted.forEachIndexed { index, request -> oracle.checkRequest(index, request.reply.refusal) }
    }

    private companion object {
        val TARGETS = listOf("/action/1", "/action-two/1", "/lookup/1", "/stream/1", "/stream-on/1")
        val KEYS = listOf("kept", "revoked").map(::CustomerKey)

        /** Versions of a configuration without customers, with one that has both keys, and with the first key alone. */
        val CUSTOMERS = listOf(0, 2, 1).map { count ->
            val customer = Customer(CustomerName("customer"))
            CustomerDirectory(listOf(customer to KEYS.take(count))).takeIf { count > 0 }
        }
        const val MAXIMUM_BURST = 6
        val SETTLING_TIME = 30.seconds
        const val LIMIT_DIVISOR = 1_000.0
    }
}

/**
 * Tracks what reached upstreams and what upstreams and callers reported, and fails the test on a call that must not be
 * made. A request that reached an upstream counts as run there unless the upstream declined it.
 */
private class ForwardOracle(private val calls: UpstreamPort) : UpstreamPort {
    private class Request(val target: String) {
        val ranAt = ArrayList<UpstreamName>()
        var callCount = 0
        var prefillCount = 0
        var isEnded = false
    }

    private class NamedLimit(val requestsPerSecond: Double, val since: org.lovageladder.core.Moment) {
        val callsAt = ArrayList<org.lovageladder.core.Moment>()
    }

    private class Pause(val since: org.lovageladder.core.Moment, val until: org.lovageladder.core.Moment)

    lateinit var clock: () -> org.lovageladder.core.Moment
    var customers: CustomerDirectory? = null
    var terminatedAt: org.lovageladder.core.Moment? = null
    val isTerminated: Boolean get() = terminatedAt?.let { clock() >= it } ?: false
    private val requests = ArrayList<Request>()
    private val leaving = HashMap<UpstreamIncarnation, org.lovageladder.core.Moment>()
    private val pauses = HashMap<UpstreamIncarnation, Pause>()
    private val limits = HashMap<UpstreamName, NamedLimit>()

    fun onSubmit(target: String) {
        requests += Request(target)
    }

    fun onCallerDisconnected(index: Int) {
        requests[index].isEnded = true
    }

    fun onDeclined(call: ReceivedCall) {
        requestOf(call.request).ranAt -= call.attempt.upstream.name
    }

    fun onNotice(incarnation: UpstreamIncarnation, notice: UpstreamNotice) {
        val now = clock()
        if (notice.isLeaving) leaving.putIfAbsent(incarnation, now)
        when (val limit = notice.requestLimit) {
            is RequestLimitNotice.Named ->
                if (limits[incarnation.name]?.requestsPerSecond != limit.requestsPerSecond) {
                    limits[incarnation.name] = NamedLimit(limit.requestsPerSecond, now)
                }
            RequestLimitNotice.NotNamed -> limits.remove(incarnation.name)
            null -> Unit
        }
        val pause = notice.pause ?: return
        val current = pauses[incarnation]?.takeIf { it.until > now }
        pauses[incarnation] = Pause(current?.since ?: now, maxOf(current?.until ?: now, now + pause))
    }

    /** Checks the invariants of request [index]; [refusal] is what its caller was told. */
    fun checkRequest(index: Int, refusal: Refusal?) {
        val request = requests[index]
        val maximumRuns = if (request.target.startsWith("/lookup") || request.target.startsWith("/stream-on")) 2 else 1
        assertTrue(
            request.ranAt.size <= maximumRuns,
            "${request.target} ran ${request.ranAt.size} times: ${request.ranAt}",
        )
        if (refusal == null) return
        request.isEnded = true
        if (refusal.reason.isNotRun) {
            assertEquals(emptyList(), request.ranAt, "${request.target} ran but was refused as not run")
        }
    }

    /** Checks that calls beyond one for each request, not counting first prefills, stay within the retry budget. */
    fun checkBudget(submitted: Int, end: org.lovageladder.core.Moment) {
        val retries = requests.sumOf { maxOf(0, it.callCount - 1) }
        val windows = 1 + (end - org.lovageladder.core.Moment(0)) / RETRY_WINDOW
        assertTrue(
            retries <= RETRY_RATIO * submitted + RETRY_ALLOWANCE * windows,
            "$retries retries for $submitted requests",
        )
    }

    override fun send(request: ForwardRequest, attempt: UpstreamAttempt, receiver: AnswerReceiver): Cancellable {
        val tracked = checkCall(request, attempt.upstream, reserved = attempt.reservation != null)
        tracked.ranAt += attempt.upstream.name
        tracked.callCount += 1
        val trackingReceiver =
            object : AnswerReceiver by receiver {
                override fun onFailure(failure: CallFailure) {
                    if (!failure.sent) {
                        tracked.ranAt -= attempt.upstream.name
                        tracked.callCount -= 1
                    }
                    receiver.onFailure(failure)
                }
            }
        return calls.send(request, attempt, trackingReceiver)
    }

    override fun prefill(
        request: ForwardRequest,
        attempt: UpstreamAttempt,
        answer: (EngineAnswer<PrefillResult>) -> Unit,
    ): Cancellable {
        val tracked = checkCall(request, attempt.upstream, reserved = false)
        return calls.prefill(request, attempt) { result ->
            val isFirstPrefill = result is EngineAnswer.Done && tracked.prefillCount++ == 0
            if (!isFirstPrefill) tracked.callCount += 1
            answer(result)
        }
    }

    override fun reserve(
        engine: UpstreamIncarnation,
        tokens: Int,
        reservationTime: kotlin.time.Duration,
        answer: (EngineAnswer<Reservation>) -> Unit,
    ): Cancellable {
        checkUpstream(engine, reserved = false)
        return calls.reserve(engine, tokens, reservationTime, answer)
    }

    override fun releaseReservation(engine: UpstreamIncarnation, reservation: Reservation) {
        checkLimit(engine)
        calls.releaseReservation(engine, reservation)
    }

    override fun checkRunning(
        upstream: UpstreamIncarnation,
        healthPath: String?,
        answer: (Boolean) -> Unit,
    ): Cancellable {
        checkLimit(upstream)
        checkPause(upstream, tolerance = 0.milliseconds)
        return calls.checkRunning(upstream, healthPath, answer)
    }

    override fun freePrefillResult(result: PrefillResult) {
        checkLimit(result.engine)
        calls.freePrefillResult(result)
    }

    /** Checks that calls of any kind stay within the limit that the upstream named last. */
    private fun checkLimit(upstream: UpstreamIncarnation) {
        val limit = limits[upstream.name] ?: return
        val now = clock()
        if (now - limit.since < IN_FLIGHT_TOLERANCE) return
        limit.callsAt += now
        val count = limit.callsAt.count { now - it < LIMIT_WINDOW }
        val allowed = LIMIT_FACTOR * LIMIT_WINDOW.inWholeSeconds * limit.requestsPerSecond + LIMIT_TOLERANCE
        assertTrue(count <= allowed, "$upstream got $count calls, allowed $allowed")
    }

    private fun requestOf(request: ForwardRequest) = requests[request.id.text.substringAfter('-').toInt()]

    private fun checkCall(request: ForwardRequest, upstream: UpstreamIncarnation, reserved: Boolean): Request {
        val tracked = requestOf(request)
        assertTrue(!tracked.isEnded && !isTerminated, "${tracked.target} was sent after it or the process had ended")
        val customer = request.key?.let { customers?.find(it) }
        assertEquals(customers == null, customer == null, "${tracked.target} was sent with a key that is not valid")
        assertEquals(customers == null, request.mayPassIdentity, "${tracked.target} may pass its key on")
        assertEquals(customer, request.customer, tracked.target)
        checkUpstream(upstream, reserved)
        return tracked
    }

    private fun checkUpstream(upstream: UpstreamIncarnation, reserved: Boolean) {
        checkLimit(upstream)
        checkPause(upstream, tolerance = if (reserved) IN_FLIGHT_TOLERANCE else 0.milliseconds)
        leaving[upstream]?.let { assertTrue(clock() - it < DRAIN_BOUND, "$upstream got a call after it left") }
    }

    private fun checkPause(upstream: UpstreamIncarnation, tolerance: kotlin.time.Duration) {
        val now = clock()
        pauses[upstream]?.let {
            assertTrue(now >= it.until || now - it.since < tolerance, "$upstream got a call during its pause")
        }
    }

    private companion object {
        const val RETRY_RATIO = 0.2
        const val RETRY_ALLOWANCE = 8.0
        val RETRY_WINDOW = 10.seconds
        val DRAIN_BOUND = 2.seconds
        val LIMIT_WINDOW = 4.seconds
        const val LIMIT_FACTOR = 1.5
        const val LIMIT_TOLERANCE = 5.0
        val IN_FLIGHT_TOLERANCE = 500.milliseconds
    }
}
