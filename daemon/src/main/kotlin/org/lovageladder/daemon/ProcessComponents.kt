package org.lovageladder.daemon

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.lovageladder.core.EventDraft
import org.lovageladder.core.HostList
import org.lovageladder.core.HybridClock
import org.lovageladder.core.ListedHost
import org.lovageladder.core.ProcessName
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.openEtcdStore
import org.lovageladder.http.openHttpHostList
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService

/** Components that entry and companion processes share. */
internal class ProcessComponents(name: ProcessName, private val settings: ProcessSettings) : AutoCloseable {
    val timer: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { task -> Thread(task, "timer").apply { isDaemon = true } }
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val clock = HybridClock(System::currentTimeMillis)
    val ring = EventRing()
    val threads = HttpThreads()
    val store = openEtcdStore(settings.store, threads)
    val termination = ProcessEnding(settings.drainTimeout, timer)
    val state = PublishedState()
    private val hostList: HostList? = settings.hostList?.let { openHttpHostList(it, threads) }
    private val eventLog = EventLog(name, clock, ring, registry)
    private val garbageCollectionMetrics = JvmGcMetrics()

    init {
        JvmMemoryMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
        garbageCollectionMetrics.bindTo(registry)
        state.showIn(registry)
    }

    /** Records an event. Confined to the control thread. */
    fun recordEvent(draft: EventDraft) {
        eventLog.record(draft)
    }

    /** Starts reading the host list at intervals, if one is configured. */
    fun pollHostList(onHosts: (List<ListedHost>) -> Unit) {
        val list = hostList ?: return
        HostListPoller(list, settings.hostListInterval, timer, onHosts).start()
    }

    override fun close() {
        timer.shutdownNow()
        garbageCollectionMetrics.close()
        store.close()
        hostList?.close()
        threads.close()
        registry.close()
    }
}

/** Copies of control state that any thread may read. */
internal class PublishedState {
    @Volatile
    var ready = false

    @Volatile
    var release = ReleaseVersion.NONE

    /** Registers the state as metrics. */
    fun showIn(registry: PrometheusMeterRegistry) {
        Gauge.builder("lovageladder.ready", this) { if (it.ready) 1.0 else 0.0 }.register(registry)
        Gauge.builder("lovageladder.release", this) { it.release.number.toDouble() }.register(registry)
    }
}
