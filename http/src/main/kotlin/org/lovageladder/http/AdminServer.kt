package org.lovageladder.http

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.lovageladder.core.Address
import org.lovageladder.core.EventRecord
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName

/** State and operations of a process for operators. Called on worker threads of the admin server; may block. */
public interface AdminHandler {
    /** Whether the process is ready to accept requests. */
    public fun isReady(): Boolean

    /** Status of the process as a JSON object. */
    public fun statusJson(): String

    /** Recorded events that match [filter], oldest first. */
    public fun events(filter: EventFilter): List<EventRecord>

    /** Recorded events that explain how [request] was routed or why it was refused. */
    public fun explain(request: RequestId): List<EventRecord>

    /** Starts to drain the process. */
    public fun startDrain()
}

/** Selects events; a null member matches every event. [afterMilliseconds] is wall-clock time since 1970-01-01 UTC. */
public data class EventFilter(
    val request: RequestId? = null,
    val upstream: UpstreamName? = null,
    val note: ReleaseVersion? = null,
    val afterMilliseconds: Long? = null,
    val limit: Int = 1000,
)

/** HTTP server for operators and the platform's health probes. */
public interface AdminServer : AutoCloseable {
    /** Address the server listens on; with the assigned port when the requested port was 0. */
    public val address: Address

    /** Stops listening and closes all connections. */
    override fun close()
}

/** Starts an [AdminServer] on [bind]; throws [java.net.BindException] when the address is in use. */
public fun startAdminServer(
    bind: Address,
    admin: AdminHandler,
    registry: PrometheusMeterRegistry,
    threads: HttpThreads = HttpThreads.shared,
): AdminServer = NettyAdminServer(bind, AdminRoutes(admin, registry), threads)
