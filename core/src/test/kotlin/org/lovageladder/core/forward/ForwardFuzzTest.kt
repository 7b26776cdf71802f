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
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One thing that happens; [which] chooses among routes, calls, callers and upstreams, [amount] is a length. */
data class ForwardCommand(val kind: ForwardCommandKind, val which: Int, val amount: Int)

enum class ForwardCommandKind {
    SUBMIT,
    SUBMIT_MANY,
    ANSWER,
    ERR,
    DECLINE,
    LOSE_ANSWER,
    CUT_ANSWER,
    ANSWER_UNPROVEN,
    SAY_OTHER_INSTANCE,
    CALLER_LEAVES,
    ADVANCE,
    UNREACHABLE,
    REACHABLE,
    REFUSE_PROMPTS,
    SAY_LEAVING,
    SAY_PAUSE,
    REGISTER_LEAVING,
    REGISTER_SERVING,
    START_ANEW,
    REMOVE,
    REGISTRY_LOST,
    REGISTRY_BACK,
    CONFIGURE_NEWER,
    CONFIGURE_OLDER,
}

class ForwardFuzzTest : ForwardSequences() {
    @Property(seed = "20261204", tries = 10_000, shrinking = ShrinkingMode.BOUNDED)
    fun noPromiseToCallersOrUpstreamsIsBroken(@ForAll("sequences") commands: List<ForwardCommand>) = check(commands)
}

/** The same with fresh seeds, run by name only; `-Djqwik.tries.default` sets how many sequences. */
class ForwardFreshFuzz : ForwardSequences() {
    @Property(shrinking = ShrinkingMode.BOUNDED)
    fun noPromiseToCallersOrUpstreamsIsBroken(@ForAll("sequences") commands: List<ForwardCommand>) = check(commands)
}

/** Draws sequences of commands and runs them against a [ForwardOracle]. */
abstract class ForwardSequences {
    @Provide
    fun sequences(): Arbitrary<List<ForwardCommand>> = Combinators
        .combine(
            Arbitraries.of(ForwardCommandKind::class.java),
            Arbitraries.integers().between(0, 1_000),
            Arbitraries.integers().between(1, 3_000),
        ).`as` { kind, which, amount -> ForwardCommand(kind, which, amount) }
        .list()
        .ofMinSize(20)
        .ofMaxSize(60)

    internal fun check(commands: List<ForwardCommand>) {
        val run = FuzzRun()
        commands.forEach(run::carryOut)
        run.finish()
    }
}

/** One world to which commands happen. */
private class FuzzRun {
    private lateinit var oracle: ForwardOracle
    private val world = ForwardWorld(memory = 10_000) { calls ->
        ForwardOracle(calls).also { oracle = it }
    }
    private val submitted = ArrayList<ForwardWorld.Submitted>()
    private val members = ForwardWorld.MEMBERS.associateByTo(LinkedHashMap()) { it.name }
    private var revision = 1L
    private var version = 1L
    private var highest = ReleaseVersion.NONE

    init {
        oracle.now = { world.scheduler.now() }
    }

    fun carryOut(command: ForwardCommand) {
        when (command.kind) {
            ForwardCommandKind.SUBMIT -> submit(command)
            ForwardCommandKind.SUBMIT_MANY -> repeat(1 + command.amount % MOST_AT_ONCE) { submit(command) }
            ForwardCommandKind.ANSWER -> answer(command) { finishWhole(it) }
            ForwardCommandKind.ERR -> answer(command) { it.answer(500, "error") }
            ForwardCommandKind.DECLINE -> decline(command, wrongInstance = false)
            ForwardCommandKind.LOSE_ANSWER -> answer(command) { it.fail(sent = true) }
            ForwardCommandKind.CUT_ANSWER -> answer(command) {
                it.head(200)
                it.content("id: 1\ndata: a\n\nid: 2")
                it.fail(sent = true)
            }
            ForwardCommandKind.ANSWER_UNPROVEN -> answer(command) { it.answer(200, "x", genuine = false) }
            ForwardCommandKind.SAY_OTHER_INSTANCE -> decline(command, wrongInstance = true)
            ForwardCommandKind.CALLER_LEAVES -> callerLeaves(command)
            ForwardCommandKind.ADVANCE -> world.scheduler.advance(command.amount.milliseconds)
            ForwardCommandKind.UNREACHABLE -> world.upstreams.unreachable += member(command).address
            ForwardCommandKind.REACHABLE -> world.upstreams.unreachable.clear()
            ForwardCommandKind.REFUSE_PROMPTS -> world.upstreams.prefillRefusals += member(command).address
            ForwardCommandKind.SAY_LEAVING -> notice(command, UpstreamNotice(leaving = true))
            ForwardCommandKind.SAY_PAUSE -> notice(command, UpstreamNotice(pause = command.amount.milliseconds))
            ForwardCommandKind.REGISTER_LEAVING -> register(member(command).copy(leaving = true))
            ForwardCommandKind.REGISTER_SERVING -> register(member(command).copy(leaving = false))
            ForwardCommandKind.START_ANEW -> startAnew(command)
            ForwardCommandKind.REMOVE ->
                world.forwarder.registryChanged(RegistryChange.Removed(member(command).name, ++revision))
            ForwardCommandKind.REGISTRY_LOST -> world.forwarder.registryChanged(RegistryChange.Lost)
            ForwardCommandKind.REGISTRY_BACK -> world.forwarder.registryChanged(RegistryChange.Regained)
            ForwardCommandKind.CONFIGURE_NEWER -> configure(++version)
            ForwardCommandKind.CONFIGURE_OLDER -> configure((version - 1 - command.which % 2).coerceAtLeast(1))
        }
        checkRequests()
    }

    /** Lets everything end and checks what must hold then. */
    fun finish() {
        world.scheduler.advance(LONGEST)
        assertTrue(submitted.all { it.reply.final || it in left }, "a request has no final answer")
        assertEquals(0, world.forwarder.open)
        oracle.checkBudget(submitted.size, world.scheduler.now())
        checkRequests()
    }

    private val left = HashSet<ForwardWorld.Submitted>()

    private fun submit(command: ForwardCommand) {
        val target = TARGETS[command.which % TARGETS.size]
        oracle.submitting(target)
        submitted += world.submit(target, wait = (500 + command.amount).milliseconds)
    }

    private fun callerLeaves(command: ForwardCommand) {
        val caller = submitted.filterNot { it.reply.final || it in left }.let {
            it.getOrNull(
                command.which % (it.size + 1),
            )
        }
        if (caller == null) return
        left += caller
        caller.open?.callerLeft()
        oracle.callerLeft(submitted.indexOf(caller))
    }

    private fun answer(command: ForwardCommand, act: (ReceivedCall) -> Unit) {
        val open = world.upstreams.runs.filterNot { it.cancelled || it in answered }
        val call = open.getOrNull(command.which % (open.size + 1)) ?: return
        answered += call
        act(call)
    }

    private val answered = HashSet<ReceivedCall>()

    private fun decline(command: ForwardCommand, wrongInstance: Boolean) = answer(command) {
        oracle.declined(it)
        it.head(if (wrongInstance) 421 else 503, notRun = true, wrongInstance = wrongInstance)
        it.end()
    }

    private fun finishWhole(call: ReceivedCall) {
        call.head(200)
        call.content("id: 1\ndata: a\n\n")
        world.upstreams.finish(call)
    }

    private fun member(command: ForwardCommand): Member = members.values.elementAt(command.which % members.size)

    private fun register(member: Member) {
        val written = member.copy(revision = ++revision)
        members[member.name] = written
        world.forwarder.registryChanged(RegistryChange.Written(written))
    }

    private fun startAnew(command: ForwardCommand) {
        val started = member(command).copy(leaving = false, startedAt = revision)
        register(started)
    }

    private fun notice(command: ForwardCommand, notice: UpstreamNotice) {
        val start = member(command).start
        oracle.noticed(start, notice)
        world.forwarder.noticed(start, notice)
    }

    private fun configure(number: Long) {
        world.forwarder.configure(ForwardWorld.configuration(version = number))
        assertTrue(world.forwarder.version >= highest, "the configuration went back")
        highest = world.forwarder.version
    }

    private fun checkRequests() {
        submitted.forEachIndexed { index, request -> oracle.checkRequest(index, request.reply.refusal) }
    }

    private companion object {
        val TARGETS = listOf("/action/1", "/action-two/1", "/lookup/1", "/stream/1", "/stream-on/1")
        const val MOST_AT_ONCE = 6
        val LONGEST = 30.seconds
    }
}

/**
 * Knows what reached upstreams, and what upstreams and callers said, and fails the test when a call should not have
 * been made. A request that reached an upstream counts as run there unless the upstream declined it.
 */
private class ForwardOracle(private val calls: UpstreamCalls) : UpstreamCalls {
    private class Request(val target: String) {
        val runs = ArrayList<UpstreamName>()
        var reached = 0
        var promptsRead = 0
        var over = false
    }

    private class Pause(val since: org.lovageladder.core.Moment, val until: org.lovageladder.core.Moment)

    lateinit var now: () -> org.lovageladder.core.Moment
    private val requests = ArrayList<Request>()
    private val leaving = HashMap<UpstreamStart, org.lovageladder.core.Moment>()
    private val pauses = HashMap<UpstreamStart, Pause>()

    fun submitting(target: String) {
        requests += Request(target)
    }

    fun callerLeft(index: Int) {
        requests[index].over = true
    }

    fun declined(call: ReceivedCall) {
        requestOf(call.request).runs -= call.sending.upstream.name
    }

    fun noticed(start: UpstreamStart, notice: UpstreamNotice) {
        val at = now()
        if (notice.leaving) leaving.putIfAbsent(start, at)
        val pause = notice.pause ?: return
        val running = pauses[start]?.takeIf { it.until > at }
        pauses[start] = Pause(running?.since ?: at, maxOf(running?.until ?: at, at + pause))
    }

    /** What must hold of request [index] at any time; [refusal] is what its caller was told. */
    fun checkRequest(index: Int, refusal: Refusal?) {
        val request = requests[index]
        val most = if (request.target.startsWith("/lookup") || request.target.startsWith("/stream-on")) 2 else 1
        assertTrue(request.runs.size <= most, "${request.target} ran ${request.runs.size} times: ${request.runs}")
        if (refusal == null) return
        request.over = true
        if (refusal.reason.notRun) assertEquals(emptyList(), request.runs, "${request.target} was refused as not run")
    }

    /** Everything that reached upstreams beyond one for each request, without first readings of prompts. */
    fun checkBudget(submitted: Int, end: org.lovageladder.core.Moment) {
        val repeats = requests.sumOf { maxOf(0, it.reached - 1) }
        val windows = 1 + (end - org.lovageladder.core.Moment(0)) / WINDOW
        assertTrue(repeats <= RATIO * submitted + ALLOWANCE * windows, "$repeats repeats of $submitted")
    }

    override fun send(request: ForwardRequest, sending: Sending, receiver: AnswerReceiver): RunningCall {
        val known = checkSending(request, sending.upstream, reserved = sending.reservation != null)
        known.runs += sending.upstream.name
        known.reached += 1
        val watching =
            object : AnswerReceiver by receiver {
                override fun onFailure(failure: CallFailure) {
                    if (!failure.sent) {
                        known.runs -= sending.upstream.name
                        known.reached -= 1
                    }
                    receiver.onFailure(failure)
                }
            }
        return calls.send(request, sending, watching)
    }

    override fun prefill(
        request: ForwardRequest,
        sending: Sending,
        answer: (EngineAnswer<PrefillResult>) -> Unit,
    ): RunningCall {
        val known = checkSending(request, sending.upstream, reserved = false)
        return calls.prefill(request, sending) { result ->
            val first = result is EngineAnswer.Done && known.promptsRead++ == 0
            if (!first) known.reached += 1
            answer(result)
        }
    }

    override fun reserve(
        engine: UpstreamStart,
        tokens: Int,
        keep: kotlin.time.Duration,
        answer: (EngineAnswer<Reservation>) -> Unit,
    ): RunningCall {
        checkUpstream(engine, reserved = false)
        return calls.reserve(engine, tokens, keep, answer)
    }

    override fun release(engine: UpstreamStart, reservation: Reservation) = calls.release(engine, reservation)

    override fun free(result: PrefillResult) = calls.free(result)

    private fun requestOf(request: ForwardRequest) = requests[request.id.text.substringAfter('-').toInt()]

    private fun checkSending(request: ForwardRequest, upstream: UpstreamStart, reserved: Boolean): Request {
        val known = requestOf(request)
        assertTrue(!known.over, "${known.target} was sent after its end")
        checkUpstream(upstream, reserved)
        return known
    }

    private fun checkUpstream(upstream: UpstreamStart, reserved: Boolean) {
        val at = now()
        val grace = if (reserved) CROSSING else 0.milliseconds
        pauses[upstream]?.let { assertTrue(at >= it.until || at - it.since < grace, "$upstream pauses") }
        leaving[upstream]?.let { assertTrue(at - it < DRAIN_BOUND, "$upstream is leaving") }
    }

    private companion object {
        const val RATIO = 0.2
        const val ALLOWANCE = 8.0
        val WINDOW = 10.seconds
        val DRAIN_BOUND = 2.seconds
        val CROSSING = 500.milliseconds
    }
}
