package org.lovageladder.measure

import kotlinx.serialization.json.Json
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.CompanionDecisions
import org.lovageladder.core.CompanionEffect
import org.lovageladder.core.CompanionEvent
import org.lovageladder.core.CompanionSettings
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Incarnation
import org.lovageladder.core.Moment
import org.lovageladder.core.PEER_PROTOCOL
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.ProcessName
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoredEntry
import org.lovageladder.core.companionDecisions
import org.lovageladder.core.noteStoreKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val NANOSECONDS_PER_MICROSECOND = 1e3
private const val COMPANIONS_IN_NOTE = 370
private const val WAKE_LIMIT = 100
private val HEARTBEAT_INTERVAL = 1.seconds

/** Measures an idle companion connected to [entries] entries over [length] of virtual time. */
internal fun measureIdleCompanion(entries: Int, length: Duration): IdleCost {
    val heapBefore = usedHeapBytes()
    val companion = MeasuredCompanion()
    companion.start(entries)
    val heapBytes = usedHeapBytes() - heapBefore
    val handlingBefore = companion.handling.nanoseconds
    val codingBefore = companion.coding.nanoseconds
    val beats = length.inWholeSeconds.toInt()
    repeat(beats) { companion.beat(it.toLong()) }
    val seconds = length.toDouble(DurationUnit.SECONDS)
    val nanosecondsPerFigure = NANOSECONDS_PER_MICROSECOND * seconds
    return IdleCost(
        size = entries,
        handlingMicroseconds = (companion.handling.nanoseconds - handlingBefore) / nanosecondsPerFigure,
        codingMicroseconds = (companion.coding.nanoseconds - codingBefore) / nanosecondsPerFigure,
        messagesOut = companion.sent.messages / seconds,
        messagesIn = companion.received.messages / seconds,
        bytesOut = companion.sent.bytes / seconds,
        bytesIn = companion.received.bytes / seconds,
        heapBytes = heapBytes,
    )
}

/** A companion's decisions with entries that only send heartbeats; see [MeasuredEntry] for what is counted. */
private class MeasuredCompanion {
    private val decisions: CompanionDecisions = companionDecisions(
        CompanionSettings(ProcessName("companion-0"), Fleet.hostName(0), Fleet.placeOf(0), Incarnation(1)),
    )
    private var connections = emptyList<ConnectionId>()
    private var now = Moment(0)
    val handling = ProcessorMeter()
    val coding = ProcessorMeter()
    val sent = TrafficMeter()
    val received = TrafficMeter()

    fun start(entries: Int) {
        process(listOf(CompanionEvent.TimePassed))
        connections = List(entries) { ConnectionId(it + 1L) }
        process(connections.map { CompanionEvent.Connected(it, hello(it)) })
        check(decisions.ready) { "the companion is not ready" }
        check(decisions.status(now).connectedEntries.size == entries) { "not all entries are connected" }
    }

    private fun hello(connection: ConnectionId) =
        PeerMessage.Hello(PEER_PROTOCOL, ProcessName("entry-${connection.number}"), Incarnation(1), Fleet.hostName(0))

    /** Lets one heartbeat interval pass and takes a heartbeat of each entry. */
    fun beat(sequence: Long) {
        passTo(now + HEARTBEAT_INTERVAL)
        val bodies = connections.map { encode(PeerMessage.Heartbeat(sequence)) }
        bodies.forEach(received::count)
        process(
            coding.measure {
                connections.zip(bodies) { connection, body -> CompanionEvent.Received(connection, decode(body)) }
            },
        )
    }

    private fun passTo(end: Moment) {
        generateSequence { decisions.nextDeadline()?.takeIf { it <= end } }.take(WAKE_LIMIT).forEach { due ->
            now = maxOf(now, due)
            process(listOf(CompanionEvent.TimePassed))
        }
        now = end
    }

    private fun process(first: List<CompanionEvent>) {
        var events = first
        while (events.isNotEmpty()) {
            val effects = handling.measure { events.flatMap { decisions.handle(it, now) } }
            val sends = effects.filterIsInstance<CompanionEffect.Send>()
            coding.measure { sends.map { encode(it.message) } }.forEach(sent::count)
            events = effects.mapNotNull(::answerTo)
        }
    }

    private fun answerTo(effect: CompanionEffect): CompanionEvent? = when (effect) {
        is CompanionEffect.AskStore -> CompanionEvent.StoreAnswered(effect.ticket, notesFor(effect.request))
        is CompanionEffect.ListRunning -> CompanionEvent.RunningListed(effect.upstream.name, emptyList())
        is CompanionEffect.GiveOrder ->
            CompanionEvent.OrderEnded(effect.upstream.name, effect.order, effect.fencing, fault = null)
        is CompanionEffect.Send,
        is CompanionEffect.Disconnect,
        is CompanionEffect.StartCall,
        is CompanionEffect.CancelCall,
        is CompanionEffect.CancelOrphan,
        is CompanionEffect.Record,
        is CompanionEffect.Exit,
        -> null
    }

    private fun notesFor(request: StoreRequest): StoreAnswer {
        val key = noteStoreKey(FIRST_VERSION)
        if (request !is StoreRequest.ReadAfter || request.after >= key) return StoreAnswer.Found(emptyList())
        val value = Json.encodeToString(AcceptedNote.serializer(), Fleet(COMPANIONS_IN_NOTE).note())
        return StoreAnswer.Found(listOf(StoredEntry(key, value, revision = 1)))
    }
}
