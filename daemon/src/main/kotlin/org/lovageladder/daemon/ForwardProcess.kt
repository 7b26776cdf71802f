package org.lovageladder.daemon

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.Serializable
import org.lovageladder.core.Address
import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.HybridClock
import org.lovageladder.core.Moment
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.CallerReply
import org.lovageladder.core.forward.EntryRegistrar
import org.lovageladder.core.forward.ForwardConfiguration
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.Forwarder
import org.lovageladder.core.forward.ForwarderSettings
import org.lovageladder.core.forward.LeaderElection
import org.lovageladder.core.forward.RegistryChange
import org.lovageladder.core.forward.RegistryFollower
import org.lovageladder.core.forward.RegistryListener
import org.lovageladder.core.forward.RequestHandle
import org.lovageladder.core.forward.RequestMemory
import org.lovageladder.core.forward.UnreadAnswers
import org.lovageladder.core.forward.capacity.CapacityReporter
import org.lovageladder.core.forward.messaging.EntryMessage
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.forward.CallPurpose
import org.lovageladder.http.forward.EntryIdentity
import org.lovageladder.http.forward.EntryMessageChannel
import org.lovageladder.http.forward.EventLoopScheduler
import org.lovageladder.http.forward.ForwardDrain
import org.lovageladder.http.forward.ForwardHandler
import org.lovageladder.http.forward.ForwardServer
import org.lovageladder.http.forward.HttpUpstreamCalls
import org.lovageladder.http.forward.RequestBufferPool
import org.lovageladder.http.forward.TextClient
import org.lovageladder.http.startAdminServer
import org.lovageladder.platform.PlatformEntryRegistration
import org.lovageladder.platform.PlatformLeadership
import org.lovageladder.platform.PlatformPromptReports
import org.lovageladder.platform.PlatformRegistry
import org.lovageladder.platform.PlatformRequestLimits
import org.lovageladder.platform.PlatformRequestParser
import org.lovageladder.platform.PlatformRoleOrders
import org.lovageladder.platform.PlatformUpstreamCodec
import org.lovageladder.platform.StoreWriter
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of an entry that forwards requests straight to upstreams. The requests of all callers together may hold
 * [requestBytes], and what they have not read of their answers [answerBufferBytes]. Messages are exchanged with other
 * entries at [peerListenAddress], if there is one.
 */
internal data class ForwardProcessSettings(
    val name: ProcessName,
    val listenAddress: Address,
    val process: ProcessSettings,
    val forwarderSettings: ForwarderSettings,
    val stopGrace: Duration,
    val orderLease: Duration,
    val requestBytes: Int,
    val answerBufferBytes: Int,
    val peerListenAddress: Address? = null,
)

/** Starts a forwarding entry; throws [AddressUnavailable] when it cannot listen. */
internal fun startForward(settings: ForwardProcessSettings): ForwardProcess = ForwardProcess(settings)

/**
 * Connects the [Forwarder] with callers, upstreams and the platform's store. One event loop thread handles both traffic
 * and control state: a host has only a share of one processor, where a second thread would add nothing but context
 * switches.
 */
internal class ForwardProcess(private val settings: ForwardProcessSettings) : RunningProcess {
    private val threads = HttpThreads(count = 1)
    private val scheduler = EventLoopScheduler(threads)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val ring = EventRing(capacity = EVENT_RING_CAPACITY)
    private val eventLog =
        EventLog(settings.name, HybridClock(System::currentTimeMillis), ring, registry, MAXIMUM_LOG_LINES_PER_SECOND)
    private val state = PublishedState()
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "timer").apply { isDaemon = true } }
    private val ending = ProcessEnding(settings.process.drainTimeout, timer)
    private val storeClient = TextClient(threads)
    private val storeContactClient = TextClient(threads)
    private val store = StoreWriter(settings.process.store.first(), storeClient)
    private val newConnections = CallPurpose.entries.associateWith {
        registry.counter("lovageladder.upstream.connections", "purpose", it.name.lowercase())
    }
    private val calls =
        HttpUpstreamCalls(
            threads,
            PlatformUpstreamCodec(),
            eventLog::record,
            onConnect = { newConnections.getValue(it).increment() },
        ) { upstream, notice -> forwarder.onUpstreamNotice(upstream, notice) }
    private val messages = settings.peerListenAddress?.let { listenOn("--peer-listen", it) { listenForMessages(it) } }
    private val forwarder: Forwarder =
        Forwarder(
            settings.forwarderSettings,
            calls,
            scheduler,
            eventLog::record,
            messages = { recipient, message -> messages?.send(recipient, message) },
        )
    private val follower =
        RegistryFollower(
            PlatformRegistry(settings.process.store.first(), storeClient, storeContactClient, eventLog::record),
            scheduler,
            RegistryUpdates(),
        )
    private val registrar =
        EntryRegistrar(
            PlatformEntryRegistration(store, settings.name, messages?.address),
            scheduler,
            REGISTRATION_LEASE,
            isMissing = { forwarder.isRegistrationMissing },
        )
    private val requestBuffers = RequestBufferPool(settings.requestBytes)
    private val unreadAnswers = UnreadAnswers(settings.answerBufferBytes, scheduler, eventLog::record)
    private val server =
        listenOn("--listen", settings.listenAddress) {
            val parser = PlatformRequestParser(scheduler)
            ForwardServer(settings.listenAddress, threads, parser, RequestHandler(), requestBuffers, unreadAnswers)
        }
    private val adminServer =
        listenOn("--admin", settings.process.admin) {
            startAdminServer(
                settings.process.admin,
                ProcessAdmin(state, ring, ::statusJson, ::requestStop),
                registry,
                threads,
            )
        }
    private var isDraining = false

    override val traffic: Address = server.address
    override val admin: Address = adminServer.address

    init {
        state.showIn(registry)
        Gauge.builder("lovageladder.requests.open", forwarder) { it.openRequests.toDouble() }.register(registry)
        Gauge.builder("lovageladder.requests.bytes", requestBuffers) { it.heldBytes.toDouble() }.register(registry)
        Gauge.builder("lovageladder.answers.unread.bytes", unreadAnswers) { it.heldBytes.toDouble() }.register(registry)
        Gauge.builder("lovageladder.upstreams.body.bytes", forwarder) { it.bodyBytesInFlight.toDouble() }
            .register(registry)
        Gauge.builder("lovageladder.upstreams.limited", forwarder) { it.limitedUpstreams.toDouble() }.register(registry)
        Gauge.builder("lovageladder.prompts.quarantined", forwarder) { it.quarantinedPromptParts.toDouble() }
            .register(registry)
        Gauge.builder("lovageladder.customers", forwarder) { it.customers.toDouble() }.register(registry)
        FunctionCounter.builder("lovageladder.requests.key.refused", forwarder) { it.requestsRefusedForKey.toDouble() }
            .register(registry)
        registerQuotaMeters(forwarder, registry)
        registerMemoryMeters()
        forwarder.capacityReporter?.let { reporter -> PoolRole.entries.forEach { registerFactors(reporter, it) } }
        scheduler.execute {
            val detail = "callers=${settings.listenAddress} messages=${messages?.address ?: "none"}"
            eventLog.record(EventDraft(EventKind.PROCESS_STARTED, detail = detail))
            messages?.start(forwarder::onEntryMessage)
            follower.start()
            registrar.start()
            forwarder.startLimitReports(PlatformRequestLimits(store))
            forwarder.startPromptReports(PlatformPromptReports(store, settings.name))
            forwarder.startCapacityReports()
            startRoleChanges()
        }
    }

    private fun listenForMessages(address: Address) = EntryMessageChannel(
        address,
        threads,
        EntryIdentity(settings.name, System.currentTimeMillis()),
        EntryMessage.serializer(),
        scheduler,
        addressOf = { forwarder.messageAddressOf(it) },
        eventLog::record,
        registry,
    )

    private fun registerFactors(reporter: CapacityReporter, role: PoolRole) {
        val name = "lovageladder.upstream.cost.factor"
        val label = role.name.lowercase()
        Gauge.builder(name, reporter) { it.smallestFactor(role) }.tags("role", label, "bound", "smallest")
            .register(registry)
        Gauge.builder(name, reporter) { it.largestFactor(role) }.tags("role", label, "bound", "largest")
            .register(registry)
    }

    private fun registerMemoryMeters() {
        Gauge.builder("lovageladder.memory.coordinator.silent", forwarder) { it.silentMemoryCoordinators.toDouble() }
            .register(registry)
        Gauge.builder("lovageladder.memory.coordinated.waiting", forwarder) { it.coordinatedRequests.toDouble() }
            .register(registry)
        Gauge.builder("lovageladder.memory.coordinated.tokens", forwarder) { it.coordinatedTokens.toDouble() }
            .register(registry)
    }

    private fun startRoleChanges() {
        val port = PlatformLeadership(store, settings.name)
        val leaderElection = LeaderElection(port, scheduler, settings.orderLease, Random.Default::nextDouble)
        val orders = PlatformRoleOrders(store, settings.name, storeClient, forwarder::onUpstreamNotice)
        forwarder.startRoleChanges(leaderElection, orders)
    }

    /** The grace period counts from this call, however late the event loop takes it up. */
    override fun requestStop() {
        val toldAt = scheduler.now()
        ending.requestStop { scheduler.execute { drain(toldAt) } }
    }

    override fun awaitEnd(): ProcessEnd = ending.await()

    /** Requests that are still open are answered before their connections are closed. */
    override fun close() {
        scheduler.execute(forwarder::endOpenRequests)
        server.close()
        adminServer.close()
        messages?.close()
        calls.close()
        storeClient.close()
        storeContactClient.close()
        timer.shutdownNow()
        threads.close()
        registry.close()
    }

    /** Applies those of [newSettings] that do not need a restart. */
    fun applySettings(newSettings: ForwardProcessSettings): Unit = scheduler.execute {
        forwarder.updateRetryLimits(newSettings.forwarderSettings.retryLimits)
        val isComplete =
            newSettings.copy(forwarderSettings = settings.forwarderSettings) == settings &&
                newSettings.forwarderSettings.place == settings.forwarderSettings.place
        val detail = if (isComplete) "applied" else "applied except addresses, names and place, which need a restart"
        eventLog.record(EventDraft(EventKind.SETTINGS_RELOADED, detail = detail))
    }

    /** Records why new settings were rejected; the present ones stay in force. */
    fun recordRejectedSettings(reason: String): Unit = scheduler.execute {
        eventLog.record(EventDraft(EventKind.SETTING_REJECTED, detail = reason))
    }

    /** Reports the process as not ready and ends it once all requests are answered. */
    private fun drain(toldAt: Moment) {
        isDraining = true
        state.ready = false
        val gracePeriod = minOf(settings.stopGrace, settings.process.drainTimeout)
        val finalDeadline = forwarder.drain(gracePeriod, toldAt)
        ForwardDrain(server, scheduler, ::onDrained).start(toldAt, finalDeadline)
        eventLog.record(EventDraft(EventKind.PROCESS_DRAINING, detail = "open=${forwarder.openRequests}"))
    }

    private fun onDrained() {
        eventLog.record(EventDraft(EventKind.PROCESS_STOPPED, detail = "drained"))
        ending.finished()
    }

    private fun publishState() {
        val ready = forwarder.isReady && !isDraining
        if (ready && !state.ready) {
            val detail = "configuration=${forwarder.configurationVersion}"
            eventLog.record(EventDraft(EventKind.PROCESS_READY, detail = detail))
        }
        state.ready = ready
        state.release = forwarder.configurationVersion
    }

    private fun statusJson(): String {
        val status = ForwardStatus(state.ready, state.release)
        return statusText("forward", settings.name, ForwardStatus.serializer(), status)
    }

    private inner class RegistryUpdates : RegistryListener {
        override fun onConfiguration(configuration: ForwardConfiguration) {
            forwarder.applyConfiguration(configuration)
            publishState()
        }

        override fun onChange(change: RegistryChange) {
            forwarder.onRegistryChange(change)
            if (change is RegistryChange.Restored) registrar.onRegistryRestored()
            publishState()
        }
    }

    private inner class RequestHandler : ForwardHandler {
        override val limits: CallerLimits? get() = forwarder.callerLimits

        override fun forward(request: ForwardRequest, reply: CallerReply): RequestHandle? =
            forwarder.forward(request, reply)

        override fun refuse(request: ForwardRequest, reply: CallerReply, memory: RequestMemory) =
            forwarder.refuse(request, reply, memory)
    }

    private companion object {
        const val EVENT_RING_CAPACITY = 4096
        const val MAXIMUM_LOG_LINES_PER_SECOND = 400
        val REGISTRATION_LEASE: Duration = 6.seconds
    }
}

/** Status of a forwarding entry as shown to operators. */
@Serializable
internal data class ForwardStatus(val ready: Boolean, val configuration: ReleaseVersion)
