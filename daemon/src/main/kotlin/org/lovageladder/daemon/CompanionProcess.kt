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

/** Starts a companion; throws [AddressUnavailable] when it cannot bind an address. */
internal fun startCompanion(settings: CompanionProcessSettings): RunningProcess = CompanionProcess(settings)

/**
 * Connects the decisions of a companion with entries, the upstreams of its host, the key-value service and the host
 * list.
 */
private class CompanionProcess(private val settings: CompanionProcessSettings) : RunningProcess {
    private val decisions = companionDecisions(settings.decisions)
    private val components = ProcessComponents(settings.decisions.process, settings.process)
    private val control = ControlThread(
        StateMachineAdapter(),
        ControlMeters(components.registry),
        components.termination::onControlThreadFailure,
    )
    private val gateway = openHttpUpstreamGateway(components.threads)
    private val peerListener =
        listenOn("--peer-listen", settings.peerAddress) {
            startPeerListener(
                bind = settings.peerAddress,
                host = settings.decisions.host,
                incarnation = settings.decisions.incarnation,
                handler = EntryConnectionHandler(),
            )
        }
    private val adminServer =
        listenOn("--admin", settings.process.admin) {
            val adminHandler = ProcessAdmin(components.state, components.ring, ::statusJson, ::requestStop)
            startAdminServer(settings.process.admin, adminHandler, components.registry, components.threads)
        }

    override val traffic = peerListener.address
    override val admin = adminServer.address

    init {
        control.start(CompanionEvent.TimePassed)
        components.pollHostList { control.post(CompanionEvent.HostsListed(it)) }
    }

    override fun requestStop() {
        components.termination.requestStop { control.post(CompanionEvent.StopRequested) }
    }

    override fun awaitEnd(): ProcessEnd = components.termination.await()

    override fun close() {
        control.close()
        peerListener.close()
        gateway.close()
        adminServer.close()
        components.close()
    }

    private fun statusJson(): String? = control.query { decisions.status(monotonicNow()) }
        ?.let { statusText("companion", settings.decisions.process, CompanionStatus.serializer(), it) }

    private inner class StateMachineAdapter : StateMachine<CompanionEvent> {
        override val timePassed: CompanionEvent = CompanionEvent.TimePassed

        override fun handle(event: CompanionEvent, now: Moment) {
            if (event is CompanionEvent.Connected) peerListener.send(event.connection, envelopeOf(welcome(now)))
            decisions.handle(event, now).forEach(::performEffect)
            components.state.ready = decisions.isReady
            components.state.release = decisions.release
        }

        override fun observe(clock: HybridTime): Unit = components.clock.observe(clock)

        override fun nextDeadline(): Moment? = decisions.nextDeadline()
    }

    /** The first message on a connection, sent before any message of the decisions. */
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

    private fun performEffect(effect: CompanionEffect) {
        when (effect) {
            is CompanionEffect.Send -> peerListener.send(effect.connection, envelopeOf(effect.message))
            is CompanionEffect.Disconnect -> peerListener.close(effect.connection)
            is CompanionEffect.StartCall -> startCall(effect)
            is CompanionEffect.CancelCall ->
                gateway.cancel(effect.attempt, effect.upstream) { confirmed ->
                    control.post(CompanionEvent.CancelEnded(effect.attempt, confirmed))
                }
            is CompanionEffect.ListRunning ->
                gateway.running(effect.upstream) { requests ->
                    control.post(CompanionEvent.RunningListed(effect.upstream.name, requests))
                }
            is CompanionEffect.CancelOrphan -> cancelOrphan(effect)
            is CompanionEffect.SendOrder -> sendOrder(effect)
            is CompanionEffect.CallStore ->
                components.store.call(effect.request, effect.timeout) { answer ->
                    control.post(CompanionEvent.StoreAnswered(effect.callNumber, answer))
                }
            is CompanionEffect.Record -> components.recordEvent(effect.event)
            is CompanionEffect.Exit -> components.termination.finished()
        }
    }

    private fun startCall(effect: CompanionEffect.StartCall) {
        gateway.start(effect.attempt, effect.upstream, effect.call) { report ->
            control.post(CompanionEvent.CallReported(effect.attempt, report))
        }
    }

    private fun cancelOrphan(effect: CompanionEffect.CancelOrphan) {
        gateway.cancelByName(effect.requestName, effect.upstream) { confirmed ->
            control.post(CompanionEvent.OrphanCancelEnded(effect.upstream.name, effect.requestName, confirmed))
        }
    }

    private fun sendOrder(effect: CompanionEffect.SendOrder) {
        gateway.order(effect.upstream, effect.order, effect.fencing) { fault ->
            control.post(CompanionEvent.OrderEnded(effect.upstream.name, effect.order, effect.fencing, fault))
        }
    }

    private fun envelopeOf(message: PeerMessage): Envelope =
        Envelope(decisions.release, components.clock.next(), message)

    private inner class EntryConnectionHandler : ListenerHandler {
        override fun connected(connection: ConnectionId, envelope: Envelope, hello: PeerMessage.Hello): Unit =
            control.post(CompanionEvent.Connected(connection, hello), envelope.clock)

        override fun received(connection: ConnectionId, envelope: Envelope): Unit =
            control.post(CompanionEvent.Received(connection, envelope), envelope.clock)

        override fun lost(connection: ConnectionId, fault: Fault): Unit =
            control.post(CompanionEvent.Disconnected(connection, fault))

        override fun rejected(kind: EventKind, fault: Fault): Unit =
            control.execute { components.recordEvent(EventDraft(kind, detail = fault.toString())) }
    }
}
