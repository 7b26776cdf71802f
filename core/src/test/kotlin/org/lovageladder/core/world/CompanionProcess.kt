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

/** A companion's decisions with fake connections and upstreams around them. */
internal class CompanionProcess(val host: HostName, world: World, private val upstreams: List<FakeUpstream>) :
    Process<CompanionEvent>(world) {
    private lateinit var decisions: CompanionDecisions
    private val channels = HashMap<ConnectionId, Network.Channel>()
    private var lastConnection = 0L

    override val timePassed: CompanionEvent get() = CompanionEvent.TimePassed

    override val release: ReleaseVersion get() = decisions.release

    override fun start(incarnation: Long) {
        val place = world.entryFor(host).place
        decisions = companionDecisions(
            CompanionSettings(ProcessName("companion-$host"), host, place, Incarnation(incarnation)),
        )
        upstreams.forEach { world.oracle.closed(it.entry.name, null) }
    }

    override fun closeConnections(orderly: Boolean) {
        channels.values.forEach { it.close(orderly) }
        channels.clear()
    }

    override fun deadline(): Moment? = decisions.nextDeadline()

    override fun handle(event: CompanionEvent) {
        decisions.handle(event, world.time.now).forEach(::perform)
        if (event is CompanionEvent.Connected) welcome(event.connection)
    }

    /** Accepts a connection unless the process is gone. */
    fun accept(hello: PeerMessage.Hello, entrySide: Endpoint): Network.Channel? {
        if (!alive) return null
        val connection = ConnectionId(++lastConnection)
        val channel = world.network.open(entrySide, side(connection, incarnation))
        channels[connection] = channel
        deliver(CompanionEvent.Connected(connection, hello))
        return channel
    }

    private fun welcome(connection: ConnectionId) {
        val status = decisions.status(world.time.now)
        val message = PeerMessage.Welcome(PEER_PROTOCOL, host, status.incarnation, status.leaving, status.loads)
        channels[connection]?.toEntry(envelope(message))
    }

    private fun envelope(message: PeerMessage) = Envelope(decisions.release, clock(), message)

    private fun perform(effect: CompanionEffect) {
        when (effect) {
            is CompanionEffect.Send -> channels[effect.connection]?.toEntry(envelope(effect.message))
            is CompanionEffect.Disconnect -> channels.remove(effect.connection)?.close()
            is CompanionEffect.StartCall -> startCall(effect)
            is CompanionEffect.CancelCall -> cancel(effect.upstream.name, effect.attempt.toString()) {
                CompanionEvent.CancelEnded(effect.attempt, it)
            }
            is CompanionEffect.CancelOrphan -> cancel(effect.upstream.name, effect.requestName) {
                CompanionEvent.OrphanEnded(effect.upstream.name, effect.requestName, it)
            }
            is CompanionEffect.ListRunning -> later {
                CompanionEvent.RunningListed(effect.upstream.name, upstream(effect.upstream.name).requests)
            }
            is CompanionEffect.GiveOrder -> later {
                CompanionEvent.OrderEnded(effect.upstream.name, effect.order, effect.fencing, null)
            }
            is CompanionEffect.AskStore -> askStore(effect)
            is CompanionEffect.Record -> Unit
            is CompanionEffect.Exit -> exit()
        }
    }

    private fun upstream(name: UpstreamName) = upstreams.first { it.entry.name == name }

    private fun startCall(effect: CompanionEffect.StartCall) {
        val current = incarnation
        upstream(effect.upstream.name).start(effect.attempt, effect.call) { report ->
            if (current == incarnation) deliver(CompanionEvent.Reported(effect.attempt, report))
        }
    }

    private fun cancel(name: UpstreamName, request: String, ended: (Boolean) -> CompanionEvent) = later {
        ended(upstream(name).cancel(request))
    }

    /** Delivers the event that [ask] brings about after a round trip on the host. */
    private fun later(ask: () -> CompanionEvent) {
        val current = incarnation
        world.time.after(1.milliseconds) {
            val event = ask()
            if (current == incarnation) deliver(event)
        }
    }

    private fun askStore(effect: CompanionEffect.AskStore) {
        val current = incarnation
        world.store.call(effect.request, effect.timeout) { answer ->
            if (current == incarnation) deliver(CompanionEvent.StoreAnswered(effect.ticket, answer))
        }
    }

    private fun side(connection: ConnectionId, current: Long) = object : Endpoint {
        override fun received(envelope: Envelope) {
            if (current == incarnation) deliver(CompanionEvent.Received(connection, envelope))
        }

        override fun closed() {
            if (current != incarnation || channels.remove(connection) == null) return
            val fault = Fault(Step.CONNECT, "entry", FaultCause.CONNECTION_LOST)
            deliver(CompanionEvent.Disconnected(connection, fault))
        }
    }

    /** Asks the process to stop; its upstreams are to get no new work soon after. */
    fun stop() {
        if (!alive) return
        upstreams.forEach { world.oracle.closed(it.entry.name, world.time.now) }
        deliver(CompanionEvent.StopRequested)
    }

    fun checkSettled(oracle: Oracle) {
        val status = decisions.status(world.time.now)
        val idle = status.reservations == 0 && status.runningCalls == 0
        val free = status.loads.all { it.piecesFree == it.piecesTotal && it.waiting == 0 }
        if (!idle || !free) oracle.violation("$host counts memory held for nobody: $status")
    }

    override fun toString(): String = host.text
}
