package org.lovageladder.client

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.lovageladder.core.Address
import org.lovageladder.core.EventKind
import org.lovageladder.core.EventRecord
import org.lovageladder.core.HybridTime
import org.lovageladder.core.ProcessName
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName
import org.lovageladder.http.AdminHandler
import org.lovageladder.http.EventFilter
import org.lovageladder.http.startAdminServer

/** Admin server of a process that reports the JSON text [status] and has recorded [events]. */
internal class FakeProcess(private val status: String, private val events: List<EventRecord> = emptyList()) :
    AutoCloseable {
    @Volatile
    var isDrainRequested: Boolean = false
        private set

    private val handler = object : AdminHandler {
        override fun isReady() = true

        override fun statusJson() = status

        override fun events(filter: EventFilter): List<EventRecord> = events
            .filter { filter.request == null || it.request == filter.request }
            .filter { filter.upstream == null || it.upstream == filter.upstream }
            .filter { filter.note == null || it.note == filter.note }
            .filter { it.clock.milliseconds > (filter.afterMilliseconds ?: -1) }

        override fun explain(request: RequestId) = events.filter { it.request == request }

        override fun startDrain() {
            isDrainRequested = true
        }
    }

    private val server =
        startAdminServer(Address("127.0.0.1", 0), handler, PrometheusMeterRegistry(PrometheusConfig.DEFAULT))

    val address: Address get() = server.address

    override fun close(): Unit = server.close()
}

internal fun event(milliseconds: Long, counter: Int, process: String, kind: EventKind, upstream: String? = null) =
    EventRecord(
        clock = HybridTime(milliseconds, counter),
        process = ProcessName(process),
        kind = kind,
        request = RequestId("r-1"),
        upstream = upstream?.let { UpstreamName(it) },
    )
