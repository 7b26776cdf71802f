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

/** An entry's decisions with fake connections, callers and key-value service around them. */
internal class EntryProcess(private val host: HostName, world: World) : Process<EntryEvent>(world) {
    private lateinit var decisions: EntryDecisions
    private val callers = HashMap<ExchangeId, Caller>()
    private val channels = HashMap<ConnectionId, Network.Channel>()
    private var watching = false

    override val timePassed: EntryEvent get() = EntryEvent.TimePassed

    override val release: ReleaseVersion get() = decisions.release

    override fun start(incarnation: Long) {
        val place = world.entryFor(host).place
        decisions = entryDecisions(
            EntrySettings(ProcessName(host.text), host, place, Incarnation(incarnation), bootstrap = bootstrap()),
        )
        watching = false
        world.store.watch { entry ->
            if (watching && incarnation == this.incarnation && !world.store.down) seen(entry.value)
        }
    }

    private fun bootstrap() = world.companions.take(2).map { BootstrapPeer(it.host, Address("127.0.0.1", 1)) }

    private fun seen(value: String) {
        val note = runCatching { Json.decodeFromString(AcceptedNote.serializer(), value) }.getOrNull() ?: return
        world.time.after(1.milliseconds) { deliver(EntryEvent.NoteSeen(note)) }
    }

    override fun closeConnections(orderly: Boolean) {
        callers.values.filter { it.outcome == null }.forEach { it.connectionLost = true }
        callers.clear()
        channels.values.forEach { it.close(orderly) }
        channels.clear()
    }

    override fun deadline(): Moment? = decisions.nextDeadline()

    override fun handle(event: EntryEvent) {
        decisions.handle(event, world.time.now).forEach(::perform)
    }

    fun submit(exchange: ExchangeId, caller: Caller) {
        if (!alive) {
            caller.connectionLost = true
            return
        }
        callers[exchange] = caller
        deliver(EntryEvent.Submitted(exchange, caller.submission))
    }

    fun callerLeft(caller: Caller) {
        val exchange = callers.entries.firstOrNull { it.value === caller }?.key ?: return
        callers.remove(exchange)
        deliver(EntryEvent.CallerLeft(exchange))
    }

    private fun perform(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.GiveToken -> callers[effect.exchange]?.let {
                world.oracle.token(it, effect.index, effect.text)
            }
            is EntryEffect.GiveOutcome -> callers.remove(effect.exchange)?.let {
                world.oracle.outcome(it, effect.outcome, world.time.now)
            }
            is EntryEffect.Connect -> connect(effect)
            is EntryEffect.Disconnect -> channels.remove(effect.connection)?.close()
            is EntryEffect.Send -> channels[effect.connection]?.toCompanion(envelope(effect.message))
            is EntryEffect.AskStore -> askStore(effect)
            is EntryEffect.WatchNotes -> watching = effect.watching
            is EntryEffect.Record -> Unit
            is EntryEffect.Exit -> exit()
        }
    }

    private fun envelope(message: PeerMessage) = Envelope(decisions.release, clock(), message)

    private fun askStore(effect: EntryEffect.AskStore) {
        val current = incarnation
        world.store.call(effect.request, effect.timeout) { answer ->
            if (current == incarnation) deliver(EntryEvent.StoreAnswered(effect.ticket, answer))
        }
    }

    private fun connect(effect: EntryEffect.Connect) {
        val current = incarnation
        world.time.after(1.milliseconds) {
            if (alive && current == incarnation) {
                val hello = PeerMessage.Hello(
                    protocol = PEER_PROTOCOL,
                    process = ProcessName(host.text),
                    incarnation = Incarnation(incarnation),
                    expectedHost = effect.host,
                )
                val companion = world.companions.first { it.host == effect.host }
                val channel = companion.accept(hello, side(effect.connection, effect.host, current))
                if (channel == null) refused(effect) else channels[effect.connection] = channel
            }
        }
    }

    private fun refused(effect: EntryEffect.Connect) {
        val fault = Fault(Step.CONNECT, effect.host.text, FaultCause.UNREACHABLE)
        deliver(EntryEvent.Disconnected(effect.connection, effect.host, fault))
    }

    private fun side(connection: ConnectionId, peer: HostName, current: Long) = object : Endpoint {
        override fun received(envelope: Envelope) {
            if (current != incarnation) return
            val welcome = envelope.message as? PeerMessage.Welcome
            if (welcome == null) {
                deliver(EntryEvent.Received(connection, envelope))
            } else {
                deliver(EntryEvent.Connected(connection, welcome))
            }
        }

        override fun closed() {
            if (current != incarnation || channels.remove(connection) == null) return
            val fault = Fault(Step.CONNECT, peer.text, FaultCause.CONNECTION_LOST)
            deliver(EntryEvent.Disconnected(connection, peer, fault))
        }
    }

    fun stop() = deliver(EntryEvent.StopRequested)

    fun isReady(): Boolean = alive && decisions.ready

    override fun toString(): String = host.text
}
