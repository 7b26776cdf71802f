package org.lovageladder.measure

import org.lovageladder.core.ConnectionId
import org.lovageladder.core.EntryEffect
import org.lovageladder.core.EntryEvent
import org.lovageladder.core.EntrySettings
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Incarnation
import org.lovageladder.core.Moment
import org.lovageladder.core.Outcome
import org.lovageladder.core.PEER_PROTOCOL
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.ProcessName
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.Submission
import org.lovageladder.core.entryDecisions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The decisions of an entry that is connected to all companions of its release, which answer with [answersTo]. Messages
 * are encoded as on connections, but not sent through sockets. The meters count the handling, encoding and decoding of
 * the entry, not those of the companions.
 */
internal class MeasuredEntry(private val answersTo: (PeerMessage) -> List<PeerMessage>) {
    private val decisions = entryDecisions(
        EntrySettings(ProcessName("entry-0"), Fleet.ENTRY_HOST, Fleet.ENTRY_PLACE, Incarnation(1)),
    )
    private var now = Moment(0)
    private var lastExchange = 0L
    val handlingTime = CpuTimeMeter()
    val codingTime = CpuTimeMeter()
    val sentTraffic = TrafficMeter()
    val receivedTraffic = TrafficMeter()

    /** Outcomes sent to callers. */
    val outcomes = mutableListOf<Outcome>()

    /** Number of tokens sent to callers. */
    var tokenCount = 0
        private set

    val connectedCompanions: Int get() = decisions.status(now).connectedHosts.size

    /** Applies the note of [fleet] and connects to its companions. */
    fun start(fleet: Fleet) {
        handleAll(listOf(EntryEvent.TimePassed))
        handleAll(listOf(EntryEvent.NoteReceived(fleet.note())))
    }

    /** Advances the virtual time by [duration] and handles the deadlines in it. */
    fun advance(duration: Duration) {
        val end = now + duration
        generateSequence { decisions.nextDeadline()?.takeIf { it <= end } }.take(MAXIMUM_TIMER_EVENTS).forEach { due ->
            now = maxOf(now, due)
            handleAll(listOf(EntryEvent.TimePassed))
        }
        now = end
    }

    /** Submits [submissions] at once and runs until no more events follow. */
    fun submit(submissions: List<Submission>) {
        handleAll(submissions.map { EntryEvent.Submitted(ExchangeId(++lastExchange), it) })
    }

    private fun handleAll(initialEvents: List<EntryEvent>) {
        var events = initialEvents
        while (events.isNotEmpty()) {
            val effects = handlingTime.measure { events.flatMap { decisions.handle(it, now) } }
            now += ROUND_TIME
            events = effects.filterNot { it is EntryEffect.Send }.mapNotNull(::resultOf) +
                deliver(effects.filterIsInstance<EntryEffect.Send>())
        }
    }

    private fun resultOf(effect: EntryEffect): EntryEvent? {
        when (effect) {
            is EntryEffect.Connect -> {
                val welcome = PeerMessage.Welcome(
                    PEER_PROTOCOL,
                    effect.host,
                    Incarnation(1),
                    leaving = false,
                    emptyList(),
                )
                return EntryEvent.Connected(effect.connection, welcome)
            }
            is EntryEffect.CallStore ->
                return EntryEvent.StoreAnswered(effect.callNumber, StoreAnswer.Found(emptyList()))
            is EntryEffect.SendOutcome -> outcomes += effect.outcome
            is EntryEffect.SendToken -> tokenCount++
            is EntryEffect.Send,
            is EntryEffect.Disconnect,
            is EntryEffect.WatchNotes,
            is EntryEffect.Record,
            is EntryEffect.Exit,
            -> Unit
        }
        return null
    }

    private fun deliver(sendEffects: List<EntryEffect.Send>): List<EntryEvent> {
        val bodies = codingTime.measure { sendEffects.map { encodeFrameBody(it.message) } }
        bodies.forEach(sentTraffic::record)
        val answers = sendEffects.flatMap { send ->
            answersTo(send.message).map { ReceivedFrame(send.connection, encodeFrameBody(it)) }
        }
        answers.forEach { receivedTraffic.record(it.body) }
        return codingTime.measure { answers.map { EntryEvent.Received(it.connection, decodeFrameBody(it.body)) } }
    }

    private class ReceivedFrame(val connection: ConnectionId, val body: ByteArray)

    private companion object {
        const val MAXIMUM_TIMER_EVENTS = 100_000
        val ROUND_TIME = 1.milliseconds
    }
}
