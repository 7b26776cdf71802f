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
private const val COMPANIONS_IN_RELEASE = 370
private const val MAXIMUM_TIMER_EVENTS = 100
private val HEARTBEAT_INTERVAL = 1.seconds

/** Measures an idle companion connected to [entries] entries over [duration] of virtual time. */
internal fun measureIdleCompanion(entries: Int, duration: Duration): IdleCost {
    val heapBefore = usedHeapBytes()
    val companion = MeasuredCompanion()
    companion.start(entries)
    val heapBytes = usedHeapBytes() - heapBefore
    val handlingBefore = companion.handlingTime.nanoseconds
    val codingBefore = companion.codingTime.nanoseconds
    val heartbeatIntervals = duration.inWholeSeconds.toInt()
    repeat(heartbeatIntervals) { companion.passHeartbeatInterval(it.toLong()) }
    val seconds = duration.toDouble(DurationUnit.SECONDS)
    val rateDivisor = NANOSECONDS_PER_MICROSECOND * seconds
    return IdleCost(
        size = entries,
        handlingMicroseconds = (companion.handlingTime.nanoseconds - handlingBefore) / rateDivisor,
        codingMicroseconds = (companion.codingTime.nanoseconds - codingBefore) / rateDivisor,
        messagesOut = companion.sentTraffic.messages / seconds,
        messagesIn = companion.receivedTraffic.messages / seconds,
        bytesOut = companion.sentTraffic.bytes / seconds,
        bytesIn = companion.receivedTraffic.bytes / seconds,
        heapBytes = heapBytes,
    )
}

/** The decisions of a companion whose entries only send heartbeats; counts the same as [MeasuredEntry]. */
private class MeasuredCompanion {
    private val decisions: CompanionDecisions = companionDecisions(
        CompanionSettings(ProcessName("companion-0"), Fleet.hostName(0), Fleet.placeOf(0), Incarnation(1)),
    )
    private var connections = emptyList<ConnectionId>()
    private var now = Moment(0)
    val handlingTime = CpuTimeMeter()
    val codingTime = CpuTimeMeter()
    val sentTraffic = TrafficMeter()
    val receivedTraffic = TrafficMeter()

    fun start(entries: Int) {
        handleAll(listOf(CompanionEvent.TimePassed))
        connections = List(entries) { ConnectionId(it + 1L) }
        handleAll(connections.map { CompanionEvent.Connected(it, hello(it)) })
        check(decisions.isReady) { "the companion is not ready" }
        check(decisions.status(now).connectedEntries.size == entries) { "not all entries are connected" }
    }

    private fun hello(connection: ConnectionId) =
        PeerMessage.Hello(PEER_PROTOCOL, ProcessName("entry-${connection.number}"), Incarnation(1), Fleet.hostName(0))

    /** Advances by one heartbeat interval and handles one heartbeat from each entry. */
    fun passHeartbeatInterval(sequence: Long) {
        advanceTo(now + HEARTBEAT_INTERVAL)
        val bodies = connections.map { encodeFrameBody(PeerMessage.Heartbeat(sequence)) }
        bodies.forEach(receivedTraffic::record)
        handleAll(
            codingTime.measure {
                connections.zip(bodies) { connection, body ->
                    CompanionEvent.Received(connection, decodeFrameBody(body))
                }
            },
        )
    }

    private fun advanceTo(end: Moment) {
        generateSequence { decisions.nextDeadline()?.takeIf { it <= end } }.take(MAXIMUM_TIMER_EVENTS).forEach { due ->
            now = maxOf(now, due)
            handleAll(listOf(CompanionEvent.TimePassed))
        }
        now = end
    }

    private fun handleAll(initialEvents: List<CompanionEvent>) {
        var events = initialEvents
        while (events.isNotEmpty()) {
            val effects = handlingTime.measure { events.flatMap { decisions.handle(it, now) } }
            val sendEffects = effects.filterIsInstance<CompanionEffect.Send>()
            codingTime.measure { sendEffects.map { encodeFrameBody(it.message) } }.forEach(sentTraffic::record)
            events = effects.mapNotNull(::resultOf)
        }
    }

    private fun resultOf(effect: CompanionEffect): CompanionEvent? = when (effect) {
        is CompanionEffect.CallStore -> CompanionEvent.StoreAnswered(effect.callNumber, storedNotes(effect.request))
        is CompanionEffect.ListRunning -> CompanionEvent.RunningListed(effect.upstream.name, emptyList())
        is CompanionEffect.SendOrder ->
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

    private fun storedNotes(request: StoreRequest): StoreAnswer {
        val key = noteStoreKey(RELEASE_VERSION)
        if (request !is StoreRequest.ReadAfter || request.after >= key) return StoreAnswer.Found(emptyList())
        val value = Json.encodeToString(AcceptedNote.serializer(), Fleet(COMPANIONS_IN_RELEASE).note())
        return StoreAnswer.Found(listOf(StoredEntry(key, value, revision = 1)))
    }
}
