package org.lovageladder.daemon

import org.lovageladder.core.CompanionEffect
import org.lovageladder.core.CompanionEvent
import org.lovageladder.core.CompanionStatus
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Envelope
import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.Fault
import org.lovageladder.core.HybridTime
import org.lovageladder.core.Moment
import org.lovageladder.core.PEER_PROTOCOL
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.companionDecisions
import org.lovageladder.http.openHttpUpstreamGateway
import org.lovageladder.http.startAdminServer
import org.lovageladder.peer.ListenerHandler
import org.lovageladder.peer.startPeerListener

/** Starts a companion; throws [AddressUnavailable] when it cannot listen. */
internal fun startCompanion(settings: CompanionProcessSettings): RunningProcess = CompanionProcess(settings)

/** Connects the decisions of a companion with entries, the upstreams of its host and the platform. */
private class CompanionProcess(private val settings: CompanionProcessSettings) : RunningProcess {
    private val decisions = companionDecisions(settings.decisions)
    private val parts = ProcessParts(settings.decisions.process, settings.process)
    private val control = ControlThread(Machine(), ControlMeters(parts.registry), parts.ending::failed)
    private val upstreams = openHttpUpstreamGateway(parts.threads)
    private val listener =
        listenOn("--peer-listen", settings.peer) {
            startPeerListener(
                bind = settings.peer,
                host = settings.decisions.host,
                incarnation = settings.decisions.incarnation,
                handler = Entries(),
            )
        }
    private val adminServer =
        listenOn("--admin", settings.process.admin) {
            val operators = ProcessAdmin(parts.state, parts.ring, ::statusJson, ::requestStop)
            startAdminServer(settings.process.admin, operators, parts.registry, parts.threads)
        }

    override val traffic = listener.address
    override val admin = adminServer.address

    init {
        control.start(CompanionEvent.TimePassed)
        parts.pollHostList { control.post(CompanionEvent.HostsListed(it)) }
    }

    override fun requestStop() {
        parts.ending.requestStop { control.post(CompanionEvent.StopRequested) }
    }

    override fun awaitEnd(): ProcessEnd = parts.ending.await()

    override fun close() {
        control.close()
        listener.close()
        upstreams.close()
        adminServer.close()
        parts.close()
    }

    private fun statusJson(): String? = control.ask { decisions.status(monotonicNow()) }
        ?.let { statusText("companion", settings.decisions.process, CompanionStatus.serializer(), it) }

    private inner class Machine : ControlledMachine<CompanionEvent> {
        override val timePassed: CompanionEvent = CompanionEvent.TimePassed

        override fun handle(event: CompanionEvent, now: Moment) {
            if (event is CompanionEvent.Connected) listener.send(event.connection, enveloped(welcome(now)))
            decisions.handle(event, now).forEach(::carryOut)
            parts.state.ready = decisions.ready
            parts.state.release = decisions.release
        }

        override fun observe(clock: HybridTime): Unit = parts.clock.observe(clock)

        override fun nextDeadline(): Moment? = decisions.nextDeadline()
    }

    /** The first message on a connection, which goes out before whatever the decisions send on it. */
    private fun welcome(now: Moment): PeerMessage.Welcome {
        val status = decisions.status(now)
        return PeerMessage.Welcome(
            protocol = PEER_PROTOCOL,
            host = settings.decisions.host,
            incarnation = settings.decisions.incarnation,
            leaving = status.leaving,
            loads = status.loads,
        )
    }

    private fun carryOut(effect: CompanionEffect) {
        when (effect) {
            is CompanionEffect.Send -> listener.send(effect.connection, enveloped(effect.message))
            is CompanionEffect.Disconnect -> listener.close(effect.connection)
            is CompanionEffect.StartCall -> start(effect)
            is CompanionEffect.CancelCall ->
                upstreams.cancel(effect.attempt, effect.upstream) { confirmed ->
                    control.post(CompanionEvent.CancelEnded(effect.attempt, confirmed))
                }
            is CompanionEffect.ListRunning ->
                upstreams.running(effect.upstream) { requests ->
                    control.post(CompanionEvent.RunningListed(effect.upstream.name, requests))
                }
            is CompanionEffect.CancelOrphan -> cancelOrphan(effect)
            is CompanionEffect.GiveOrder -> give(effect)
            is CompanionEffect.AskStore ->
                parts.store.call(effect.request, effect.timeout) { answer ->
                    control.post(CompanionEvent.StoreAnswered(effect.ticket, answer))
                }
            is CompanionEffect.Record -> parts.record(effect.event)
            is CompanionEffect.Exit -> parts.ending.finished()
        }
    }

    private fun start(effect: CompanionEffect.StartCall) {
        upstreams.start(effect.attempt, effect.upstream, effect.call) { report ->
            control.post(CompanionEvent.Reported(effect.attempt, report))
        }
    }

    private fun cancelOrphan(effect: CompanionEffect.CancelOrphan) {
        upstreams.cancelByName(effect.requestName, effect.upstream) { confirmed ->
            control.post(CompanionEvent.OrphanEnded(effect.upstream.name, effect.requestName, confirmed))
        }
    }

    private fun give(effect: CompanionEffect.GiveOrder) {
        upstreams.order(effect.upstream, effect.order, effect.fencing) { fault ->
            control.post(CompanionEvent.OrderEnded(effect.upstream.name, effect.order, effect.fencing, fault))
        }
    }

    private fun enveloped(message: PeerMessage): Envelope = Envelope(decisions.release, parts.clock.next(), message)

    private inner class Entries : ListenerHandler {
        override fun connected(connection: ConnectionId, envelope: Envelope, hello: PeerMessage.Hello): Unit =
            control.post(CompanionEvent.Connected(connection, hello), envelope.clock)

        override fun received(connection: ConnectionId, envelope: Envelope): Unit =
            control.post(CompanionEvent.Received(connection, envelope), envelope.clock)

        override fun lost(connection: ConnectionId, fault: Fault): Unit =
            control.post(CompanionEvent.Disconnected(connection, fault))

        override fun rejected(kind: EventKind, fault: Fault): Unit =
            control.execute { parts.record(EventDraft(kind, detail = fault.toString())) }
    }
}
