package org.lovageladder.core.forward

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.RequestId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How far answers were passed to the operating system: whole writes, and bytes of the write after them. */
public data class WrittenPosition(val writes: Long, val bytes: Long)

/** The sending side of a caller's connection. */
public interface AnswerOutput {
    /** Bytes of answers that wait in this process until the caller reads. */
    public val unreadBytes: Long

    /** Changes whenever the caller has read, in the steps in which the operating system learns of it. */
    public val position: WrittenPosition

    /** Whether an answer of an upstream is not read further until the caller reads. */
    public val isUpstreamPaused: Boolean

    /** The request whose answer waits. */
    public val request: RequestId?

    /** Closes the connection, so that the caller sees that the answer is incomplete. */
    public fun cutOff()
}

/**
 * Limits what waits for callers that read slowly. A caller that reads nothing is cut off after [PAUSED_TIMEOUT] while
 * an upstream is paused for it, and after [COMPLETE_TIMEOUT] when its whole answer waits. When all unread answers
 * exceed [maximumBytes], callers are cut off until they fit: first one whose answer exceeds the limit alone, then those
 * that have read nothing for longest, so that callers that read are the last to suffer from those that do not.
 *
 * Load pattern: callers that stop to read beside sound ones. Confined to one thread, except for [heldBytes].
 */
public class UnreadAnswers(
    private val maximumBytes: Int,
    private val scheduler: Scheduler,
    private val events: EventSink,
) {
    private val waiting = LinkedHashMap<AnswerOutput, WaitingOutput>()
    private var isCheckScheduled = false

    /** Bytes that wait for all callers. May be read on any thread. */
    @Volatile
    public var heldBytes: Long = 0
        private set

    /** Called after each write to [output]. */
    public fun onWritten(output: AnswerOutput) {
        update(output)
        if (heldBytes > maximumBytes) makeRoom()
        scheduleCheck()
    }

    /** The connection of [output] was closed. */
    public fun remove(output: AnswerOutput) {
        waiting.remove(output)?.let { heldBytes -= it.bytes }
    }

    private fun update(output: AnswerOutput) {
        val bytes = output.unreadBytes
        if (bytes == 0L) return remove(output)
        val position = output.position
        val known = waiting.getOrPut(output) { WaitingOutput(position, scheduler.now()) }
        if (known.position != position) {
            known.position = position
            known.unchangedSince = scheduler.now()
        }
        heldBytes += bytes - known.bytes
        known.bytes = bytes
    }

    private fun makeRoom() {
        waiting.keys.toList().forEach(::update)
        while (heldBytes > maximumBytes) {
            val excessive = waiting.entries.firstOrNull { it.value.bytes > maximumBytes }
            val stalest = waiting.entries.minByOrNull { it.value.unchangedSince.microseconds }
            val (output, _) = excessive ?: stalest ?: return
            cutOff(output, EventKind.ANSWERS_FULL)
        }
    }

    private fun scheduleCheck() {
        if (isCheckScheduled || waiting.isEmpty()) return
        isCheckScheduled = true
        scheduler.schedule(CHECK_INTERVAL) {
            isCheckScheduled = false
            waiting.keys.toList().forEach(::update)
            waiting.filter { (output, known) -> isStalled(output, known) }.keys
                .forEach { cutOff(it, EventKind.CALLER_CUT_OFF) }
            scheduleCheck()
        }
    }

    private fun isStalled(output: AnswerOutput, known: WaitingOutput): Boolean {
        val timeout = if (output.isUpstreamPaused) PAUSED_TIMEOUT else COMPLETE_TIMEOUT
        return scheduler.now() - known.unchangedSince >= timeout
    }

    /** Closes the connection in an action of its own, since the caller may be another one than that of this write. */
    private fun cutOff(output: AnswerOutput, kind: EventKind) {
        val known = waiting[output] ?: return
        val unread = scheduler.now() - known.unchangedSince
        val detail = "unread=${known.bytes} for=${unread.inWholeMilliseconds}ms all=$heldBytes bound=$maximumBytes " +
            "upstreamPaused=${output.isUpstreamPaused}"
        remove(output)
        events.record(EventDraft(kind, request = output.request, detail = detail))
        scheduler.schedule(Duration.ZERO, output::cutOff)
    }

    private class WaitingOutput(var position: WrittenPosition, var unchangedSince: Moment) {
        var bytes = 0L
    }

    public companion object {
        /** Default of the limit, a quarter of the direct memory of an entry, where answers wait beside requests. */
        public const val DEFAULT_BYTES: Int = 8 * 1024 * 1024

        private val CHECK_INTERVAL: Duration = 250.milliseconds

        /** Callers give a stream up that pauses for some seconds, and upstreams cut off answers that nobody reads. */
        private val PAUSED_TIMEOUT: Duration = 4.seconds

        /**
         * Longer than [PAUSED_TIMEOUT], since a whole answer occupies no upstream. The operating system learns that a
         * caller reads only in steps of up to 64 KB; a caller of 7 KB a second takes 9 s for one.
         */
        private val COMPLETE_TIMEOUT: Duration = 10.seconds
    }
}
