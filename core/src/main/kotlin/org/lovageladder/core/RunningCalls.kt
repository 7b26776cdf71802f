package org.lovageladder.core

/**
 * A call that was sent to an upstream and has not ended there. [upstream] is the release entry and [concurrency] the
 * number of running calls, this one included, when the call started.
 */
internal class RunningCall(
    val attempt: AttemptId,
    val upstream: ReleaseEntry.Upstream,
    val startedAt: Moment,
    val concurrency: Int,
) {
    /** Whether the call was cancelled, so that nothing more is sent to the entry about it. */
    var isCancelling: Boolean = false

    /** Time at which the cancel is repeated; null while its confirmation is awaited. */
    var repeatCancelAt: Moment? = null
}

/** Running calls of one upstream. A cancelled call counts until it ends or the upstream confirms the cancel. */
internal class RunningCalls(private val context: CompanionContext) {
    private val calls = LinkedHashMap<AttemptId, RunningCall>()
    private val output = context.output

    val count: Int get() = calls.size

    fun all(): Collection<RunningCall> = calls.values

    fun find(attempt: AttemptId): RunningCall? = calls[attempt]

    fun start(attempt: AttemptId, upstream: ReleaseEntry.Upstream, call: UpstreamCall) {
        check(attempt !in calls) { "$attempt is already running" }
        calls[attempt] = RunningCall(attempt, upstream, context.now, calls.size + 1)
        output.add(CompanionEffect.StartCall(attempt, upstream, call))
    }

    /** Removes the call: the upstream holds nothing for it any more. */
    fun end(attempt: AttemptId): RunningCall? = calls.remove(attempt)

    /** Cancels a running call once; [repeatCancels] repeats the cancel until it is confirmed. */
    fun cancel(attempt: AttemptId) {
        val call = calls[attempt] ?: return
        if (call.isCancelling) return
        call.isCancelling = true
        context.attempts.removeOwner(attempt)
        output.add(CompanionEffect.CancelCall(attempt, call.upstream))
    }

    /** Handles the result of a cancel; returns the call when the upstream confirmed that it holds nothing for it. */
    fun onCancelEnded(attempt: AttemptId, confirmed: Boolean): RunningCall? {
        val call = calls[attempt] ?: return null
        if (!call.isCancelling) return null
        if (confirmed) return calls.remove(attempt)
        call.repeatCancelAt = context.now + context.settings.cancelRetryInterval
        output.record(EventKind.CANCEL_UNCONFIRMED, attempt, call.upstream.name)
        return null
    }

    fun repeatCancels() {
        val due = calls.values.filter { call -> call.repeatCancelAt?.let { it <= context.now } == true }
        for (call in due) {
            call.repeatCancelAt = null
            output.add(CompanionEffect.CancelCall(call.attempt, call.upstream))
        }
    }

    fun nextDeadline(): Moment? = calls.values.mapNotNull { it.repeatCancelAt }.minOrNull()
}
