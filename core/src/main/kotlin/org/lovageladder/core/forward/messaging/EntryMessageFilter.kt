package org.lovageladder.core.forward.messaging

import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.forward.EventSink
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Direction of messages between entries; [label] is its name in metrics. */
public enum class MessageDirection(public val label: String) {
    SENT("sent"),
    RECEIVED("received"),
}

/** What became of a message between entries, or of a datagram that is dropped whole; [label] is its name in metrics. */
public enum class MessageOutcome(public val direction: MessageDirection, public val label: String) {
    SENT(MessageDirection.SENT, "ok"),
    NO_ADDRESS(MessageDirection.SENT, "no_address"),
    OVERSIZED(MessageDirection.SENT, "oversized"),
    CONGESTED(MessageDirection.SENT, "congested"),
    SEND_FAILED(MessageDirection.SENT, "failed"),
    DELIVERED(MessageDirection.RECEIVED, "ok"),
    UNREADABLE(MessageDirection.RECEIVED, "unreadable"),
    UNKNOWN_SENDER(MessageDirection.RECEIVED, "unknown_sender"),
    EARLIER_START(MessageDirection.RECEIVED, "earlier_start"),
    HANDLER_FAILED(MessageDirection.RECEIVED, "failed"),
    ;

    /** Whether the message reached the next step. */
    public val isSuccess: Boolean get() = this == SENT || this == DELIVERED
}

/**
 * Decides which datagrams of other entries are accepted. [isKnownSender] tells whether an entry is registered and
 * receives messages. A datagram that names an earlier start than the sender's latest one was sent by a process that has
 * ended. Confined to one thread.
 */
public class EntryMessageFilter(private val isKnownSender: (ProcessName) -> Boolean) {
    private val latestStarts = HashMap<ProcessName, SenderStart>()

    /** Why a datagram of [sender], which started at [start], is dropped at [now]; null when it is accepted. */
    public fun reasonToDrop(sender: ProcessName, start: Long, now: Moment): MessageOutcome? {
        if (!isKnownSender(sender)) {
            latestStarts.remove(sender)
            return MessageOutcome.UNKNOWN_SENDER
        }
        val latest = latestStarts[sender]
        val isRecent = latest != null && now - latest.lastHeard < START_RETENTION
        if (latest != null && isRecent && start < latest.start) return MessageOutcome.EARLIER_START
        latestStarts[sender] = SenderStart(start, now)
        return null
    }

    private data class SenderStart(val start: Long, val lastHeard: Moment)

    private companion object {
        /**
         * A start from which nothing was heard for this long is forgotten. Otherwise a host whose clock was set back
         * could not send until its clock reaches the earlier start. No datagram is on its way for that long.
         */
        val START_RETENTION: Duration = 10.seconds
    }
}

/** Records dropped messages in [events], at most once per outcome and [INTERVAL]. Confined to one thread. */
public class DroppedMessageLog(private val events: EventSink) {
    private val nextDue = HashMap<MessageOutcome, Moment>()
    private val unreported = HashMap<MessageOutcome, Long>()

    /** Counts a message that was dropped at [now] with [outcome]; [detail] names its other end. */
    public fun record(outcome: MessageOutcome, detail: String, now: Moment) {
        val count = unreported.merge(outcome, 1L, Long::plus) ?: 1L
        val due = nextDue[outcome]
        if (due != null && now < due) return
        nextDue[outcome] = now + INTERVAL
        unreported.remove(outcome)
        val text = "${outcome.direction.label} ${outcome.label} count=$count $detail"
        events.record(EventDraft(EventKind.ENTRY_MESSAGES_DROPPED, detail = text))
    }

    private companion object {
        val INTERVAL: Duration = 10.seconds
    }
}
