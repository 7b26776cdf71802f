package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.forward.memory.DecodeMemoryState
import kotlin.time.Duration

/**
 * Collects what one stream requested and used, for the event recorded at its end: sizes in tokens, events, times, and
 * the state of the decode memory when the stream first requested some. Confined to one thread.
 */
internal class StreamSummary(
    private val request: ForwardRequest,
    private val deadlines: RequestDeadlines,
    private val route: Route,
) {
    private val eventCounter = StreamEventCounter()
    private var requestedAt: Moment? = null
    private var memoryAtFirstRequest: DecodeMemoryState? = null
    private var waitedForMemory = Duration.ZERO
    private var grantedAt: Moment? = null
    private var firstBytesAt: Moment? = null
    private var isLastAnswerUnframed = false

    /** Head of the answer to the last decode; null until it comes. */
    var answerOfDecode: AnswerHead? = null
        private set

    /** Tokens of memory in its last request for memory. */
    var requestedTokens: Int = 0
        private set

    private var lastEventAt: Moment? = null
    private var lastEventCount = 0

    /** When it was last sent to a decode engine. */
    var decodeStartedAt: Moment? = null
        private set

    /** Events received from all engines. */
    val events: Int get() = eventCounter.count

    /** Events received since the stream was last sent to a decode engine. */
    val eventsOfDecode: Int get() = eventCounter.countOfStream

    /** Whether the decode's answer with [head], which ended, broke off. */
    fun isCutOff(head: AnswerHead): Boolean = eventCounter.isCutOff(head)

    /** Records the [head] of the decode's answer. */
    fun recordHead(head: AnswerHead) {
        isLastAnswerUnframed = head.endsWithConnection
        answerOfDecode = head
    }

    /** Records a request for memory for [tokens] tokens; [state] is the decode memory at that time. */
    fun recordMemoryRequest(tokens: Int, state: DecodeMemoryState, now: Moment) {
        requestedTokens = tokens
        requestedAt = now
        if (memoryAtFirstRequest == null) memoryAtFirstRequest = state
    }

    /** Records that the stream got its memory. */
    fun recordGrant(now: Moment) {
        waitedForMemory += currentWait(now)
        requestedAt = null
        grantedAt = now
    }

    /** Records that the stream, or the rest of it if it [isResumed], was sent to a decode engine. */
    fun recordDecodeStart(now: Moment, isResumed: Boolean) {
        decodeStartedAt = now
        answerOfDecode = null
        lastEventAt = null
        eventCounter.startStream(isResumed)
    }

    /** Counts the events in [bytes]. For the first bytes of the stream, returns the time since memory was granted. */
    fun recordContent(bytes: ByteArray, now: Moment): Duration? {
        eventCounter.add(bytes)
        if (firstBytesAt != null) return null
        firstBytesAt = now
        return grantedAt?.let { now - it }
    }

    /**
     * The events that were completed at [now] by the decode in progress, and the time since those before or, for the
     * first ones, since it was sent; null when none was completed.
     */
    fun takeProgress(now: Moment): StreamProgress? {
        val completed = eventsOfDecode - if (lastEventAt == null) 0 else lastEventCount
        if (completed <= 0) return null
        val before = lastEventAt
        val since = before ?: decodeStartedAt ?: return null
        lastEventAt = now
        lastEventCount = eventsOfDecode
        return StreamProgress(isFirst = before == null, events = completed, time = now - since)
    }

    /** Detail text of the event at the end of the stream, of which the last call was sent at [lastSentAt]. */
    fun describe(outcome: String, attempts: Int, lastSentAt: Moment?, now: Moment): String {
        val generation = request.generation
        val sinceSent = lastSentAt?.let { (now - it).inWholeMilliseconds }
        val memory = memoryAtFirstRequest
        return "$outcome route=${route.name} sendings=$attempts first=${milliseconds(firstBytesAt)}ms " +
            "took=${milliseconds(now)}ms waited=${(waitedForMemory + currentWait(now)).inWholeMilliseconds}ms " +
            "wait=${request.callerTimeout?.inWholeMilliseconds}ms prompt=${generation?.promptTokens} " +
            "bound=${generation?.maximumOutputTokens} expected=${generation?.estimatedOutputTokens} " +
            "reserved=$requestedTokens events=$events held=${memory?.heldTokens} " +
            "waiting=${memory?.waitingRequests} full=${memory?.fullEngines} unframed=$isLastAnswerUnframed " +
            "sent=${sinceSent}ms" + answerOfDecode?.let { " ${it.summary}" }.orEmpty()
    }

    private fun currentWait(now: Moment): Duration = requestedAt?.let { now - it } ?: Duration.ZERO

    private fun milliseconds(moment: Moment?) = moment?.let { (it - deadlines.arrivedAt).inWholeMilliseconds }
}

/** [events] events that a stream received [time] after those before, or after it was sent if they are the first. */
internal data class StreamProgress(val isFirst: Boolean, val events: Int, val time: Duration)
