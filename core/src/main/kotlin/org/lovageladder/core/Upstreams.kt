package org.lovageladder.core

import kotlin.time.Duration

/*
 * Ports to upstreams and to the platform's host list, used by companions and entries.
 */

/** Call that a companion sends to an upstream. */
public sealed interface UpstreamCall {
    /** Computes the KV cache of a prompt and keeps it for a decode engine. */
    public data class Prefill(val content: RequestContent.Generation, val priority: Int) : UpstreamCall

    /** Generates tokens, fetching the prompt's KV cache by [ticket] when there is one. */
    public data class Decode(
        val content: RequestContent.Generation,
        val outputBound: Int,
        val priority: Int,
        val ticket: TransferTicket?,
        val fromIndex: Int,
    ) : UpstreamCall

    /**
     * Calls a plain service. [fencing] is sent to upstreams that check it. The number of a claim is not used for it: it
     * orders the claims of one key only, while an upstream keeps one highest number for all keys.
     */
    public data class Plain(
        val content: RequestContent.Plain,
        val idempotencyKey: IdempotencyKey?,
        val fencing: Long?,
    ) : UpstreamCall
}

/** Report of an upstream on a running call. Any report except [Token] is the last one of its call. */
public sealed interface UpstreamReport {
    public data class PrefillReady(val ticket: TransferTicket) : UpstreamReport

    public data class Token(val index: Int, val text: String) : UpstreamReport

    public data class Finished(val tokens: Int, val finishReason: String) : UpstreamReport

    public data class Answered(val answer: PlainAnswer) : UpstreamReport

    /** The call failed. [execution] is [Execution.NOT_RUN] only when the upstream certainly did not start it. */
    public data class Failed(val fault: Fault, val execution: Execution) : UpstreamReport
}

/** Order to change what an upstream serves. */
public sealed interface UpstreamOrder {
    public data class LoadAdapter(val adapter: ModelName) : UpstreamOrder

    public data class UnloadAdapter(val adapter: ModelName) : UpstreamOrder

    public data class ChangeRole(val role: PoolRole) : UpstreamOrder
}

/** Port to upstreams, used only by the companion on the upstream's host. Callbacks may run on any thread, in order. */
public interface UpstreamGateway : AutoCloseable {
    /** Starts [call]; the attempt's identifier is the engine's request id. */
    public fun start(
        attempt: AttemptId,
        upstream: ReleaseEntry.Upstream,
        call: UpstreamCall,
        report: (UpstreamReport) -> Unit,
    )

    /** Cancels a running call; [done] receives whether the upstream confirmed that it holds nothing for the call. */
    public fun cancel(attempt: AttemptId, upstream: ReleaseEntry.Upstream, done: (Boolean) -> Unit)

    /** Lists the calls that an engine runs, by request id; null when it does not answer. */
    public fun running(upstream: ReleaseEntry.Upstream, listed: (List<String>?) -> Unit)

    /** Cancels a call by the engine's request id, for calls that an earlier incarnation started. */
    public fun cancelByName(requestName: String, upstream: ReleaseEntry.Upstream, done: (Boolean) -> Unit)

    /** Sends an order with a fencing number; [done] receives the fault, or null when the order was carried out. */
    public fun order(upstream: ReleaseEntry.Upstream, order: UpstreamOrder, fencing: Long, done: (Fault?) -> Unit)
}

/** One host in the platform's list. */
public data class ListedHost(val name: HostName, val place: PlaceName, val leaving: Boolean)

/** Port to the platform's host list, which lags behind the actual state of the hosts. */
public interface HostList : AutoCloseable {
    /** Reads the list; null when it cannot be read within [timeout]. */
    public fun read(timeout: Duration, listed: (List<ListedHost>?) -> Unit)
}
