package org.lovageladder.core.world

import kotlinx.serialization.json.Json
import org.lovageladder.core.AcceptedNote
import org.lovageladder.core.Address
import org.lovageladder.core.BootstrapPeer
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.EntryDecisions
import org.lovageladder.core.EntryEffect
import org.lovageladder.core.EntryEvent
import org.lovageladder.core.EntrySettings
import org.lovageladder.core.Envelope
import org.lovageladder.core.ExchangeId
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
import org.lovageladder.core.entryDecisions
import kotlin.time.Duration.Companion.milliseconds

/** An entry's decisions with simulated connections, callers and store. */
internal class SimulatedEntry(private val host: HostName, system: SimulatedSystem) :
    SimulatedProcess<EntryEvent>(system) {
    private lateinit var decisions: EntryDecisions
    private val callers = HashMap<ExchangeId, Caller>()
    private val channels = HashMap<ConnectionId, Network.Channel>()
    private var isWatching = false

    override val timePassedEvent: EntryEvent get() = EntryEvent.TimePassed

    override val release: ReleaseVersion get() = decisions.release

    override fun createDecisions(incarnation: Long) {
        val place = system.hostEntry(host).place
        decisions = entryDecisions(
            EntrySettings(ProcessName(host.text), host, place, Incarnation(incarnation), bootstrap = bootstrap()),
        )
        isWatching = false
        system.store.watch { entry ->
            if (isWatching && incarnation == this.incarnation && !system.store.isDown) onNoteWritten(entry.value)
        }
    }

    private fun bootstrap() = system.companions.take(2).map { BootstrapPeer(it.host, Address("127.0.0.1", 1)) }

    private fun onNoteWritten(value: String) {
        val note = runCatching { Json.decodeFromString(AcceptedNote.serializer(), value) }.getOrNull() ?: return
        system.time.after(1.milliseconds) { deliver(EntryEvent.NoteReceived(note)) }
    }

    override fun closeConnections(deliverPending: Boolean) {
        callers.values.filter { it.outcome == null }.forEach { it.hasLostConnection = true }
        callers.clear()
        channels.values.forEach { it.close(deliverPending) }
        channels.clear()
    }

    override fun deadline(): Moment? = decisions.nextDeadline()

    override fun handle(event: EntryEvent) {
        decisions.handle(event, system.time.now).forEach(::perform)
    }

    fun submit(exchange: ExchangeId, caller: Caller) {
        if (!isRunning) {
            caller.hasLostConnection = true
            return
        }
        callers[exchange] = caller
        deliver(EntryEvent.Submitted(exchange, caller.submission))
    }

    fun disconnectCaller(caller: Caller) {
        val exchange = callers.entries.firstOrNull { it.value === caller }?.key ?: return
        callers.remove(exchange)
        deliver(EntryEvent.CallerDisconnected(exchange))
    }

    private fun perform(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.SendToken -> callers[effect.exchange]?.let {
                system.oracle.onToken(it, effect.index, effect.text)
            }
            is EntryEffect.SendOutcome -> callers.remove(effect.exchange)?.let {
                system.oracle.onOutcome(it, effect.outcome, system.time.now)
            }
            is EntryEffect.Connect -> connect(effect)
            is EntryEffect.Disconnect -> channels.remove(effect.connection)?.close()
            is EntryEffect.Send -> channels[effect.connection]?.sendToCompanion(envelope(effect.message))
            is EntryEffect.CallStore -> callStore(effect)
            is EntryEffect.WatchNotes -> isWatching = effect.watching
            is EntryEffect.Record -> Unit
            is EntryEffect.Exit -> exit()
        }
    }

    private fun envelope(message: PeerMessage) = Envelope(decisions.release, clock(), message)

    private fun callStore(effect: EntryEffect.CallStore) {
        val startedIncarnation = incarnation
        system.store.call(effect.request, effect.timeout) { answer ->
            if (startedIncarnation == incarnation) deliver(EntryEvent.StoreAnswered(effect.callNumber, answer))
        }
    }

    private fun connect(effect: EntryEffect.Connect) {
        val startedIncarnation = incarnation
        system.time.after(1.milliseconds) {
            if (isRunning && startedIncarnation == incarnation) {
                val hello = PeerMessage.Hello(
                    protocol = PEER_PROTOCOL,
                    process = ProcessName(host.text),
                    incarnation = Incarnation(incarnation),
                    expectedHost = effect.host,
                )
                val companion = system.companions.first { it.host == effect.host }
                val channel = companion.accept(
                    hello,
                    createEndpoint(effect.connection, effect.host, startedIncarnation),
                )
                if (channel == null) onConnectionRefused(effect) else channels[effect.connection] = channel
            }
        }
    }

    private fun onConnectionRefused(effect: EntryEffect.Connect) {
        val fault = Fault(Step.CONNECT, effect.host.text, FaultCause.UNREACHABLE)
        deliver(EntryEvent.Disconnected(effect.connection, effect.host, fault))
    }

    private fun createEndpoint(connection: ConnectionId, peer: HostName, startedIncarnation: Long) = object : Endpoint {
        override fun onReceived(envelope: Envelope) {
            if (startedIncarnation != incarnation) return
            val welcome = envelope.message as? PeerMessage.Welcome
            if (welcome == null) {
                deliver(EntryEvent.Received(connection, envelope))
            } else {
                deliver(EntryEvent.Connected(connection, welcome))
            }
        }

        override fun onClosed() {
            if (startedIncarnation != incarnation || channels.remove(connection) == null) return
            val fault = Fault(Step.CONNECT, peer.text, FaultCause.CONNECTION_LOST)
            deliver(EntryEvent.Disconnected(connection, peer, fault))
        }
    }

    fun requestStop() = deliver(EntryEvent.StopRequested)

    fun isReady(): Boolean = isRunning && decisions.isReady

    override fun toString(): String = host.text
}
