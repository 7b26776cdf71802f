package org.lovageladder.http

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.lovageladder.core.Address
import org.lovageladder.core.EventRecord
import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.RequestId
import org.lovageladder.core.UpstreamName

/** What a process shows its operators. Called on threads of the admin server, which the functions may block. */
public interface AdminHandler {
    /** Whether the process takes work. */
    public fun ready(): Boolean

    /** State of the process as a JSON object. */
    public fun statusJson(): String

    /** Recorded events that fit [filter], in order of time. */
    public fun events(filter: EventFilter): List<EventRecord>

    /** Recorded events that say why [request] went where it went, or was refused. */
    public fun explain(request: RequestId): List<EventRecord>

    /** Starts to drain the process. */
    public fun drain()
}

/** Which events are wanted; members that are null admit all. [afterMilliseconds] is wall time since 1970. */
public data class EventFilter(
    val request: RequestId? = null,
    val upstream: UpstreamName? = null,
    val note: ReleaseVersion? = null,
    val afterMilliseconds: Long? = null,
    val limit: Int = 1000,
)

/** HTTP server towards operators and the platform's probes. */
public interface AdminServer : AutoCloseable {
    /** Where the server listens, with the port that was chosen when 0 was asked for. */
    public val address: Address

    /** Closes the server and its connections. */
    override fun close()
}

/** Starts an [AdminServer] on [bind]; throws [java.net.BindException] when the address is taken. */
public fun startAdminServer(
    bind: Address,
    admin: AdminHandler,
    registry: PrometheusMeterRegistry,
    threads: HttpThreads = HttpThreads.shared,
): AdminServer = NettyAdminServer(bind, AdminRoutes(admin, registry), threads)
