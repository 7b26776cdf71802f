package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits the bytes of the bodies of requests that this process has in flight to one upstream to [maximumBytes]. An
 * upstream holds a request until it has answered it, and crashes when they exceed its memory.
 *
 * Load pattern: many large requests at once. Confined to one thread, except for [heldBytes].
 */
internal class BodiesInFlight(private val maximumBytes: Int, private val events: EventSink) {
    private val bytesAt = HashMap<UpstreamName, Long>()
    private val nextLogDue = HashMap<UpstreamName, Moment>()

    /** Bytes in flight to all upstreams. May be read on any thread. */
    @Volatile
    var heldBytes: Long = 0
        private set

    /**
     * Whether the body of [request] may be sent to [upstream] now. A body above the maximum is sent alone: it would
     * otherwise be refused each time that its caller returns.
     */
    fun hasRoom(upstream: UpstreamName, request: ForwardRequest): Boolean {
        val held = bytesAt[upstream] ?: return true
        return request.body.isEmpty() || held + request.body.size <= maximumBytes
    }

    /** Logs that [upstream] has no room for [request], at most once in [LOG_INTERVAL] for each upstream. */
    fun recordFull(upstream: UpstreamName, request: ForwardRequest, now: Moment) {
        val due = nextLogDue[upstream]
        if (due != null && now < due) return
        nextLogDue[upstream] = now + LOG_INTERVAL
        val detail = "body=${request.body.size} held=${bytesAt[upstream] ?: 0} bound=$maximumBytes"
        events.record(EventDraft(EventKind.BODIES_FULL, request = request.id, upstream = upstream, detail = detail))
    }

    /** Counts the body of [request] at [upstream] until the returned function is called. */
    fun hold(upstream: UpstreamName, request: ForwardRequest): () -> Unit {
        val bytes = request.body.size.toLong()
        add(upstream, bytes)
        var isHeld = true
        return {
            if (isHeld) add(upstream, -bytes)
            isHeld = false
        }
    }

    /** Drops what is not needed of upstreams that are not [isRegistered]. */
    fun removeUnregistered(isRegistered: (UpstreamName) -> Boolean) {
        nextLogDue.keys.retainAll(isRegistered)
    }

    private fun add(upstream: UpstreamName, bytes: Long) {
        heldBytes += bytes
        val total = (bytesAt[upstream] ?: 0) + bytes
        if (total == 0L) bytesAt.remove(upstream) else bytesAt[upstream] = total
    }

    private companion object {
        val LOG_INTERVAL: Duration = 1.seconds
    }
}

/** Counts the bodies of all requests that are sent through [port] in [bodies] until they are answered or cancelled. */
internal class BodyCountingUpstreamPort(private val port: UpstreamPort, private val bodies: BodiesInFlight) :
    UpstreamPort by port {
    override fun send(request: ForwardRequest, attempt: UpstreamAttempt, receiver: AnswerReceiver): Cancellable {
        if (request.body.isEmpty()) return port.send(request, attempt, receiver)
        val release = bodies.hold(attempt.upstream.name, request)
        val releasing =
            object : AnswerReceiver by receiver {
                override fun onEnd() {
                    release()
                    receiver.onEnd()
                }

                override fun onFailure(failure: CallFailure) {
                    release()
                    receiver.onFailure(failure)
                }
            }
        return releaseAtCancel(release, port.send(request, attempt, releasing))
    }

    override fun prefill(
        request: ForwardRequest,
        attempt: UpstreamAttempt,
        answer: (EngineAnswer<PrefillResult>) -> Unit,
    ): Cancellable {
        val release = bodies.hold(attempt.upstream.name, request)
        val call = port.prefill(request, attempt) {
            release()
            answer(it)
        }
        return releaseAtCancel(release, call)
    }

    private fun releaseAtCancel(release: () -> Unit, call: Cancellable) = Cancellable {
        release()
        call.cancel()
    }
}
