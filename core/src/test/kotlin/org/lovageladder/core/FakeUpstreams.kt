package org.lovageladder.core

/** How a call ends at a fake upstream. */
internal enum class FakeCallEnd {
    /** The call is done. */
    DONE,

    /** The upstream crashed and holds nothing any more. */
    CRASHED,

    /** The upstream did not start the call. */
    NOT_RUN,

    /** Only the connection to the upstream broke: an engine goes on. */
    BROKEN,
}

/** How a cancel ends at a fake upstream. */
internal enum class FakeCancelResult {
    CONFIRMED,
    CONFIRMATION_LOST,
    IGNORED,
}

/** A call at a fake upstream. */
internal class FakeCall(val start: CompanionEffect.StartCall) {
    val attempt: AttemptId = start.attempt
    val isEngine: Boolean = start.call !is UpstreamCall.Plain
    var tokens = 0
}

/** What the upstreams of one host really run and hold, and their reports on the way to the companion. */
internal class FakeUpstreams {
    private val calls = LinkedHashMap<AttemptId, FakeCall>()
    private val streams = LinkedHashMap<AttemptId, ArrayDeque<UpstreamReport>>()
    private val broken = HashSet<AttemptId>()
    val orphans = hashMapOf(DECODE to linkedSetOf("old.1", "old.2"), PREFILL to linkedSetOf("old.3"))
    val cancels = ArrayList<CompanionEffect.CancelCall>()

    /** Calls that an upstream works on or holds memory for. */
    val held: List<FakeCall> get() = calls.values.toList()

    /** Calls with a report that the companion has not seen. */
    val reporting: List<AttemptId> get() = streams.filterValues { it.isNotEmpty() }.keys.toList()

    fun start(effect: CompanionEffect.StartCall) {
        check(calls.put(effect.attempt, FakeCall(effect)) == null) { "${effect.attempt} was started twice" }
        streams[effect.attempt] = ArrayDeque()
    }

    fun running(upstream: UpstreamName): List<String> = orphans[upstream].orEmpty().toList() +
        held.filter { it.start.upstream.name == upstream }.map { it.attempt.toString() }

    fun token(call: FakeCall) {
        if (call.start.call is UpstreamCall.Decode) report(call, UpstreamReport.Token(call.tokens, "t${call.tokens++}"))
    }

    fun end(call: FakeCall, end: FakeCallEnd) {
        when (end) {
            FakeCallEnd.DONE -> report(call, resultOf(call))
            FakeCallEnd.CRASHED -> report(call, failed(FaultCause.CRASHED))
            FakeCallEnd.NOT_RUN -> report(call, failed(FaultCause.REJECTED, Execution.NOT_RUN))
            FakeCallEnd.BROKEN -> report(call, failed(FaultCause.CONNECTION_LOST))
        }
        broken += call.attempt
        if (end != FakeCallEnd.BROKEN || !call.isEngine) calls.remove(call.attempt)
    }

    fun nextReport(attempt: AttemptId): UpstreamReport = streams.getValue(attempt).removeFirst()

    /** Carries out a cancel; returns whether it is confirmed to the companion. */
    fun cancel(effect: CompanionEffect.CancelCall, end: FakeCancelResult): Boolean {
        cancels.remove(effect)
        if (end != FakeCancelResult.IGNORED) {
            calls.remove(effect.attempt)
            broken += effect.attempt
        }
        return end == FakeCancelResult.CONFIRMED
    }

    private fun report(call: FakeCall, report: UpstreamReport) {
        if (call.attempt !in broken) streams.getValue(call.attempt).addLast(report)
    }

    private fun resultOf(call: FakeCall): UpstreamReport = when (call.start.call) {
        is UpstreamCall.Prefill -> UpstreamReport.PrefillReady(TICKET)
        is UpstreamCall.Decode -> UpstreamReport.Finished(call.tokens, "stop")
        is UpstreamCall.Plain -> UpstreamReport.Answered(ANSWER)
    }
}
