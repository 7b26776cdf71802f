package org.lovageladder.core

/** How a call ends at a fake upstream. */
internal enum class FakeCallEnd {
    /** The call finished. */
    DONE,

    /** The upstream crashed and holds nothing any more. */
    CRASHED,

    /** The upstream did not start the call. */
    NOT_RUN,

    /** Only the connection to the upstream was lost: an engine continues the call. */
    CONNECTION_LOST,
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

/** Calls that the upstreams of one host run and hold, and their reports that the companion has not received. */
internal class FakeUpstreams {
    private val calls = LinkedHashMap<AttemptId, FakeCall>()
    private val reportQueues = LinkedHashMap<AttemptId, ArrayDeque<UpstreamReport>>()
    private val closedStreams = HashSet<AttemptId>()
    val orphans = hashMapOf(DECODE to linkedSetOf("old.1", "old.2"), PREFILL to linkedSetOf("old.3"))
    val cancels = ArrayList<CompanionEffect.CancelCall>()

    /** Calls that an upstream runs or holds memory for. */
    val activeCalls: List<FakeCall> get() = calls.values.toList()

    /** Attempts with a report that the companion has not received. */
    val pendingReports: List<AttemptId> get() = reportQueues.filterValues { it.isNotEmpty() }.keys.toList()

    fun start(effect: CompanionEffect.StartCall) {
        check(calls.put(effect.attempt, FakeCall(effect)) == null) { "${effect.attempt} was started twice" }
        reportQueues[effect.attempt] = ArrayDeque()
    }

    fun running(upstream: UpstreamName): List<String> = orphans[upstream].orEmpty().toList() +
        activeCalls.filter { it.start.upstream.name == upstream }.map { it.attempt.toString() }

    fun token(call: FakeCall) {
        if (call.start.call is UpstreamCall.Decode) report(call, UpstreamReport.Token(call.tokens, "t${call.tokens++}"))
    }

    fun end(call: FakeCall, end: FakeCallEnd) {
        when (end) {
            FakeCallEnd.DONE -> report(call, resultOf(call))
            FakeCallEnd.CRASHED -> report(call, failed(FaultCause.CRASHED))
            FakeCallEnd.NOT_RUN -> report(call, failed(FaultCause.REJECTED, Execution.NOT_RUN))
            FakeCallEnd.CONNECTION_LOST -> report(call, failed(FaultCause.CONNECTION_LOST))
        }
        closedStreams += call.attempt
        if (end != FakeCallEnd.CONNECTION_LOST || !call.isEngine) calls.remove(call.attempt)
    }

    fun nextReport(attempt: AttemptId): UpstreamReport = reportQueues.getValue(attempt).removeFirst()

    /** Cancels a call; returns whether the companion receives a confirmation. */
    fun cancel(effect: CompanionEffect.CancelCall, end: FakeCancelResult): Boolean {
        cancels.remove(effect)
        if (end != FakeCancelResult.IGNORED) {
            calls.remove(effect.attempt)
            closedStreams += effect.attempt
        }
        return end == FakeCancelResult.CONFIRMED
    }

    private fun report(call: FakeCall, report: UpstreamReport) {
        if (call.attempt !in closedStreams) reportQueues.getValue(call.attempt).addLast(report)
    }

    private fun resultOf(call: FakeCall): UpstreamReport = when (call.start.call) {
        is UpstreamCall.Prefill -> UpstreamReport.PrefillReady(TICKET)
        is UpstreamCall.Decode -> UpstreamReport.Finished(call.tokens, "stop")
        is UpstreamCall.Plain -> UpstreamReport.Answered(ANSWER)
    }
}
