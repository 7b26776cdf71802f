package org.lovageladder.core.world

import org.lovageladder.core.CompanionDecisions
import org.lovageladder.core.CompanionEffect
import org.lovageladder.core.CompanionEvent
import org.lovageladder.core.CompanionSettings
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Envelope
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.HostName
import org.lovageladder.core.Incarnation
import org.lovageladder.core.Moment
import org.lovageladder.core.PEER_PROTOCOL
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.Step
import org.lovageladder.core.UpstreamName
import org.lovageladder.core.companionDecisions
import kotlin.time.Duration.Companion.milliseconds

/** A companion's decisions with simulated connections, store and upstreams. */
internal class SimulatedCompanion(
    val host: HostName,
    system: SimulatedSystem,
    private val upstreams: List<FakeUpstream>,
) : SimulatedProcess<CompanionEvent>(system) {
    private lateinit var decisions: CompanionDecisions
    private val channels = HashMap<ConnectionId, Network.Channel>()
    private var lastConnection = 0L

    override val timePassedEvent: CompanionEvent get() = CompanionEvent.TimePassed

    override val release: ReleaseVersion get() = decisions.release

    override fun createDecisions(incarnation: Long) {
        val place = system.hostEntry(host).place
        decisions = companionDecisions(
            CompanionSettings(ProcessName("companion-$host"), host, place, Incarnation(incarnation)),
        )
        upstreams.forEach { system.oracle.setLeaving(it.entry.name, null) }
    }

    override fun closeConnections(deliverPending: Boolean) {
        channels.values.forEach { it.close(deliverPending) }
        channels.clear()
    }

    override fun deadline(): Moment? = decisions.nextDeadline()

    override fun handle(event: CompanionEvent) {
        decisions.handle(event, system.time.now).forEach(::perform)
        if (event is CompanionEvent.Connected) sendWelcome(event.connection)
    }

    /** Accepts a connection; returns null when the process is not running. */
    fun accept(hello: PeerMessage.Hello, entrySide: Endpoint): Network.Channel? {
        if (!isRunning) return null
        val connection = ConnectionId(++lastConnection)
        val channel = system.network.open(entrySide, createEndpoint(connection, incarnation))
        channels[connection] = channel
        deliver(CompanionEvent.Connected(connection, hello))
        return channel
    }

    private fun sendWelcome(connection: ConnectionId) {
        val status = decisions.status(system.time.now)
        val message = PeerMessage.Welcome(PEER_PROTOCOL, host, status.incarnation, status.leaving, status.loads)
        channels[connection]?.sendToEntry(envelope(message))
    }

    private fun envelope(message: PeerMessage) = Envelope(decisions.release, clock(), message)

    private fun perform(effect: CompanionEffect) {
        when (effect) {
            is CompanionEffect.Send -> channels[effect.connection]?.sendToEntry(envelope(effect.message))
            is CompanionEffect.Disconnect -> channels.remove(effect.connection)?.close()
            is CompanionEffect.StartCall -> startCall(effect)
            is CompanionEffect.CancelCall -> cancel(effect.upstream.name, effect.attempt.toString()) {
                CompanionEvent.CancelEnded(effect.attempt, it)
            }
            is CompanionEffect.CancelOrphan -> cancel(effect.upstream.name, effect.requestName) {
                CompanionEvent.OrphanCancelEnded(effect.upstream.name, effect.requestName, it)
            }
            is CompanionEffect.ListRunning -> afterRoundTrip {
                CompanionEvent.RunningListed(effect.upstream.name, upstream(effect.upstream.name).requests)
            }
            is CompanionEffect.SendOrder -> afterRoundTrip {
                CompanionEvent.OrderEnded(effect.upstream.name, effect.order, effect.fencing, null)
            }
            is CompanionEffect.CallStore -> callStore(effect)
            is CompanionEffect.Record -> Unit
            is CompanionEffect.Exit -> exit()
        }
    }

    private fun upstream(name: UpstreamName) = upstreams.first { it.entry.name == name }

    private fun startCall(effect: CompanionEffect.StartCall) {
        val startedIncarnation = incarnation
        upstream(effect.upstream.name).start(effect.attempt, effect.call) { report ->
            if (startedIncarnation == incarnation) deliver(CompanionEvent.CallReported(effect.attempt, report))
        }
    }

    private fun cancel(name: UpstreamName, request: String, createEvent: (Boolean) -> CompanionEvent) = afterRoundTrip {
        createEvent(upstream(name).cancel(request))
    }

    /** Delivers the event that [createEvent] returns after the time of a round trip on the host. */
    private fun afterRoundTrip(createEvent: () -> CompanionEvent) {
        val startedIncarnation = incarnation
        system.time.after(1.milliseconds) {
            val event = createEvent()
            if (startedIncarnation == incarnation) deliver(event)
        }
    }

    private fun callStore(effect: CompanionEffect.CallStore) {
        val startedIncarnation = incarnation
        system.store.call(effect.request, effect.timeout) { answer ->
            if (startedIncarnation == incarnation) deliver(CompanionEvent.StoreAnswered(effect.callNumber, answer))
        }
    }

    private fun createEndpoint(connection: ConnectionId, startedIncarnation: Long) = object : Endpoint {
        override fun onReceived(envelope: Envelope) {
            if (startedIncarnation == incarnation) deliver(CompanionEvent.Received(connection, envelope))
        }

        override fun onClosed() {
            if (startedIncarnation != incarnation || channels.remove(connection) == null) return
            val fault = Fault(Step.CONNECT, "entry", FaultCause.CONNECTION_LOST)
            deliver(CompanionEvent.Disconnected(connection, fault))
        }
    }

    /** Asks the process to stop; its upstreams must get no new work after [Oracle.DRAIN_TIMEOUT]. */
    fun requestStop() {
        if (!isRunning) return
        upstreams.forEach { system.oracle.setLeaving(it.entry.name, system.time.now) }
        deliver(CompanionEvent.StopRequested)
    }

    fun checkNothingHeld(oracle: Oracle) {
        val status = decisions.status(system.time.now)
        val isIdle = status.reservations == 0 && status.runningCalls == 0
        val isMemoryFree = status.loads.all { it.piecesFree == it.piecesTotal && it.waiting == 0 }
        if (!isIdle || !isMemoryFree) oracle.addViolation("$host still counts memory or calls: $status")
    }

    override fun toString(): String = host.text
}
