package org.lovageladder.daemon

import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.Serializable
import org.lovageladder.core.Address
import org.lovageladder.core.EventDraft
import org.lovageladder.core.EventKind
import org.lovageladder.core.HybridClock
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.forward.CallerLimits
import org.lovageladder.core.forward.CallerReply
import org.lovageladder.core.forward.Configuration
import org.lovageladder.core.forward.EntryPresence
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.Forwarder
import org.lovageladder.core.forward.ForwarderSettings
import org.lovageladder.core.forward.Leadership
import org.lovageladder.core.forward.OpenRequest
import org.lovageladder.core.forward.RegistryChange
import org.lovageladder.core.forward.RegistryFollower
import org.lovageladder.core.forward.RegistryListener
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.forward.EventLoopScheduler
import org.lovageladder.http.forward.ForwardHandler
import org.lovageladder.http.forward.ForwardServer
import org.lovageladder.http.forward.HttpUpstreamCalls
import org.lovageladder.http.forward.TextClient
import org.lovageladder.http.startAdminServer
import org.lovageladder.platform.PlatformCallerWire
import org.lovageladder.platform.PlatformLeadership
import org.lovageladder.platform.PlatformPresence
import org.lovageladder.platform.PlatformRegistry
import org.lovageladder.platform.PlatformRoleOrders
import org.lovageladder.platform.PlatformUpstreamWire
import org.lovageladder.platform.StoreWriter
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Settings of an entry that forwards straight to upstreams. */
internal data class ForwardProcessSettings(
    val name: ProcessName,
    val callers: Address,
    val process: ProcessSettings,
    val decisions: ForwarderSettings,
    val stopGrace: Duration,
    val orderLease: Duration,
)

/** Starts a forwarding entry; throws [AddressUnavailable] when it cannot listen. */
internal fun startForward(settings: ForwardProcessSettings): ForwardProcess = ForwardProcess(settings)

/**
 * Connects the forwarding decisions with callers, upstreams and the platform. One event loop thread carries both the
 * traffic and the control state: the hosts have a part of one processor, on which a second thread only costs switches.
 */
internal class ForwardProcess(private val settings: ForwardProcessSettings) : RunningProcess {
    private val threads = HttpThreads(count = 1)
    private val scheduler = EventLoopScheduler(threads)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val ring = EventRing(capacity = RING_CAPACITY)
    private val log = EventLog(settings.name, HybridClock(System::currentTimeMillis), ring, registry, LINES_PER_SECOND)
    private val state = PublishedState()
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "timer").apply { isDaemon = true } }
    private val ending = ProcessEnding(settings.process.drainTimeout, timer)
    private val storeClient = TextClient(threads)
    private val store = StoreWriter(settings.process.store.first(), storeClient)
    private val calls = HttpUpstreamCalls(threads, PlatformUpstreamWire()) { upstream, notice ->
        forwarder.noticed(upstream, notice)
    }
    private val forwarder: Forwarder = Forwarder(settings.decisions, calls, scheduler, log::record)
    private val follower =
        RegistryFollower(
            PlatformRegistry(settings.process.store.first(), storeClient, log::record),
            scheduler,
            Registrations(),
        )
    private val server =
        listenOn("--listen", settings.callers) {
            ForwardServer(settings.callers, threads, PlatformCallerWire(scheduler), Callers())
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
    private var draining = false

    override val traffic: Address = server.address
    override val admin: Address = adminServer.address

    init {
        state.showIn(registry)
        Gauge.builder("lovageladder.requests.open", forwarder) { it.open.toDouble() }.register(registry)
        scheduler.execute {
            log.record(EventDraft(EventKind.PROCESS_STARTED, detail = "callers=${settings.callers}"))
            follower.start()
            EntryPresence(PlatformPresence(store, settings.name), scheduler, PRESENCE_PERIOD).start()
            keepRoles()
        }
    }

    private fun keepRoles() {
        val port = PlatformLeadership(store, settings.name)
        val leadership = Leadership(port, scheduler, settings.orderLease, Random.Default::nextDouble)
        forwarder.keepRoles(leadership, PlatformRoleOrders(store, settings.name, storeClient, forwarder::noticed))
    }

    override fun requestStop(): Unit = ending.requestStop { scheduler.execute { drain() } }

    override fun awaitEnd(): ProcessEnd = ending.await()

    override fun close() {
        server.close()
        adminServer.close()
        calls.close()
        storeClient.close()
        timer.shutdownNow()
        threads.close()
        registry.close()
    }

    /** Puts [newer] settings into force, as far as that is possible without a restart. */
    fun settingsChanged(newer: ForwardProcessSettings): Unit = scheduler.execute {
        forwarder.limitRetries(newer.decisions.retries)
        val fixed =
            newer.copy(decisions = settings.decisions) == settings && newer.decisions.place == settings.decisions.place
        val detail = if (fixed) "in force" else "in force but for addresses, names and place, which need a restart"
        log.record(EventDraft(EventKind.SETTINGS_RELOADED, detail = detail))
    }

    /** Goes on with the settings that it has. */
    fun settingsRejected(reason: String): Unit = scheduler.execute {
        log.record(EventDraft(EventKind.SETTING_REJECTED, detail = reason))
    }

    private fun drain() {
        draining = true
        state.ready = false
        server.drain()
        forwarder.drain(settings.stopGrace)
        log.record(EventDraft(EventKind.PROCESS_DRAINING, detail = "open=${forwarder.open}"))
        scheduler.after(UNROUTED_AFTER) {
            server.closeIdle()
            finishWhenIdle()
        }
    }

    /** Ends once callers were sent elsewhere and nothing is in flight. */
    private fun finishWhenIdle() {
        if (forwarder.open > 0) {
            scheduler.after(DRAIN_CHECK) { finishWhenIdle() }
            return
        }
        server.closeIdle()
        log.record(EventDraft(EventKind.PROCESS_STOPPED, detail = "drained"))
        ending.finished()
    }

    private fun publish() {
        val ready = forwarder.ready && !draining
        if (ready && !state.ready) {
            log.record(EventDraft(EventKind.PROCESS_READY, detail = "configuration=${forwarder.version}"))
        }
        state.ready = ready
        state.release = forwarder.version
    }

    private fun statusJson(): String {
        val status = ForwardStatus(state.ready, state.release)
        return statusText("forward", settings.name, ForwardStatus.serializer(), status)
    }

    private inner class Registrations : RegistryListener {
        override fun configured(configuration: Configuration) {
            forwarder.configure(configuration)
            publish()
        }

        override fun changed(change: RegistryChange) {
            forwarder.registryChanged(change)
            publish()
        }
    }

    private inner class Callers : ForwardHandler {
        override val limits: CallerLimits? get() = forwarder.limits

        override fun forward(request: ForwardRequest, reply: CallerReply): OpenRequest? =
            forwarder.forward(request, reply)
    }

    private companion object {
        const val RING_CAPACITY = 4096
        const val LINES_PER_SECOND = 400

        /** The platform's balancer asks once a second and takes a host out after two answers that are not ready. */
        val UNROUTED_AFTER: Duration = 3.seconds
        val PRESENCE_PERIOD: Duration = 6.seconds
        val DRAIN_CHECK: Duration = 50.milliseconds
    }
}

/** What operators see of a forwarding entry. */
@Serializable
internal data class ForwardStatus(val ready: Boolean, val configuration: ReleaseVersion)
