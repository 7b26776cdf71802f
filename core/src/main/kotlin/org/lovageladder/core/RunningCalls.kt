package org.lovageladder.core

/** A call that was handed to an upstream and has not ended there. [upstream] is its entry at the start. */
internal class RunningCall(
    val attempt: AttemptId,
    val upstream: ReleaseEntry.Upstream,
    val startedAt: Moment,
    val concurrency: Int,
) {
    /** Whether the call is to end and nothing is to be sent about it any more. */
    var isCancelling: Boolean = false

    /** When the cancel is repeated; null while its confirmation is awaited. */
    var repeatCancelAt: Moment? = null
}

/** Calls that run at one upstream. A cancelled call counts until the upstream confirms that it is gone. */
internal class RunningCalls(private val context: CompanionContext) {
    private val calls = LinkedHashMap<AttemptId, RunningCall>()
    private val output = context.output

    val count: Int get() = calls.size

    fun all(): Collection<RunningCall> = calls.values

    fun find(attempt: AttemptId): RunningCall? = calls[attempt]

    fun start(attempt: AttemptId, upstream: ReleaseEntry.Upstream, call: UpstreamCall) {
        check(attempt !in calls) { "$attempt already runs" }
        calls[attempt] = RunningCall(attempt, upstream, context.now, calls.size + 1)
        output.add(CompanionEffect.StartCall(attempt, upstream, call))
    }

    /** Takes the call out: the upstream holds nothing for it any more. */
    fun end(attempt: AttemptId): RunningCall? = calls.remove(attempt)

    /** Cancels a running call, once; repeats are made by [repeatCancels]. */
    fun cancel(attempt: AttemptId) {
        val call = calls[attempt] ?: return
        if (call.isCancelling) return
        call.isCancelling = true
        context.attempts.removeOwner(attempt)
        output.add(CompanionEffect.CancelCall(attempt, call.upstream))
    }

    /** Takes in the end of a cancel; returns the call when the upstream confirmed that it is gone. */
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
