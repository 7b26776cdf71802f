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
 * An entry's decisions, connected to all companions of its release, whose answers [companion] gives. Messages pass
 * through the encoding of connections but through no sockets. The meters count handling, encoding and decoding of
 * the entry; the companions' part is not counted.
 */
internal class MeasuredEntry(private val companion: (PeerMessage) -> List<PeerMessage>) {
    private val decisions = entryDecisions(
        EntrySettings(ProcessName("entry-0"), Fleet.ENTRY_HOST, Fleet.PLACE, Incarnation(1)),
    )
    private var now = Moment(0)
    private var lastExchange = 0L
    val handling = ProcessorMeter()
    val coding = ProcessorMeter()
    val sent = TrafficMeter()
    val received = TrafficMeter()

    /** Outcomes given to callers. */
    val outcomes = mutableListOf<Outcome>()

    /** Tokens given to callers. */
    var tokens = 0
        private set

    val connected: Int get() = decisions.status(now).connectedHosts.size

    /** Applies the note of [fleet] and connects to its companions. */
    fun start(fleet: Fleet) {
        process(listOf(EntryEvent.TimePassed))
        process(listOf(EntryEvent.NoteSeen(fleet.note())))
    }

    /** Lets [length] pass with whatever is due in it. */
    fun pass(length: Duration) {
        val end = now + length
        generateSequence { decisions.nextDeadline()?.takeIf { it <= end } }.take(WAKE_LIMIT).forEach { due ->
            now = maxOf(now, due)
            process(listOf(EntryEvent.TimePassed))
        }
        now = end
    }

    /** Submits [submissions] at once and runs until nothing more is sent. */
    fun submit(submissions: List<Submission>) {
        process(submissions.map { EntryEvent.Submitted(ExchangeId(++lastExchange), it) })
    }

    private fun process(first: List<EntryEvent>) {
        var events = first
        while (events.isNotEmpty()) {
            val effects = handling.measure { events.flatMap { decisions.handle(it, now) } }
            now += STEP
            events = effects.filterNot { it is EntryEffect.Send }.mapNotNull(::answerTo) +
                exchange(effects.filterIsInstance<EntryEffect.Send>())
        }
    }

    private fun answerTo(effect: EntryEffect): EntryEvent? {
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
            is EntryEffect.AskStore -> return EntryEvent.StoreAnswered(effect.ticket, StoreAnswer.Found(emptyList()))
            is EntryEffect.GiveOutcome -> outcomes += effect.outcome
            is EntryEffect.GiveToken -> tokens++
            is EntryEffect.Send,
            is EntryEffect.Disconnect,
            is EntryEffect.WatchNotes,
            is EntryEffect.Record,
            is EntryEffect.Exit,
            -> Unit
        }
        return null
    }

    private fun exchange(sends: List<EntryEffect.Send>): List<EntryEvent> {
        val bodies = coding.measure { sends.map { encode(it.message) } }
        bodies.forEach(sent::count)
        val answers = sends.flatMap { send -> companion(send.message).map { Frame(send.connection, encode(it)) } }
        answers.forEach { received.count(it.body) }
        return coding.measure { answers.map { EntryEvent.Received(it.connection, decode(it.body)) } }
    }

    private class Frame(val connection: ConnectionId, val body: ByteArray)

    private companion object {
        const val WAKE_LIMIT = 100_000
        val STEP = 1.milliseconds
    }
}
