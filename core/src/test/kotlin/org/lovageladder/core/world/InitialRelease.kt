package org.lovageladder.core.world

import org.lovageladder.core.Address
import org.lovageladder.core.ClassName
import org.lovageladder.core.HostName
import org.lovageladder.core.HostRole
import org.lovageladder.core.LatencyTarget
import org.lovageladder.core.ModelName
import org.lovageladder.core.NoteId
import org.lovageladder.core.PlaceName
import org.lovageladder.core.PoolName
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.ReleaseNote
import org.lovageladder.core.ServiceName
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** First release of the simulation: three pools of two upstreams, each upstream on its own host. */
internal class InitialRelease {
    val place = PlaceName("mohacs-telep")
    val entryHosts = listOf(HostName("entry-1"), HostName("entry-2"))
    private val pools = listOf(
        ReleaseEntry.Pool(PoolName("prefill"), PoolRole.PREFILL),
        ReleaseEntry.Pool(PoolName("decode"), PoolRole.DECODE),
        ReleaseEntry.Pool(PoolName("desk"), PoolRole.PLAIN),
    )
    val upstreams = pools.flatMap { pool -> listOf(1, 2).map { upstream(pool, it) } }
    val companionHosts = upstreams.map { it.host }
    val hosts = entryHosts.map { host(it, HostRole.ENTRY) } + companionHosts.map { host(it, HostRole.COMPANION) }
    val lookupClass = ReleaseEntry.RequestClass(
        name = ClassName("lookup"),
        service = ServiceName("desk"),
        target = LatencyTarget.Answer(2.seconds),
    )
    val note = ReleaseNote(id = NoteId("first"), added = hosts + pools + upstreams + services() + classes())

    private fun host(name: HostName, role: HostRole) =
        ReleaseEntry.Host(name, place, role, Address("127.0.0.1", 1), Address("127.0.0.1", 2))

    private fun upstream(pool: ReleaseEntry.Pool, number: Int) = ReleaseEntry.Upstream(
        name = UpstreamName("${pool.name}-$number"),
        pool = pool.name,
        host = HostName("host-${pool.name}-$number"),
        address = Address("127.0.0.1", 3),
        pieces = if (pool.role == PoolRole.DECODE) 4 else 0,
        runningLimit = if (pool.role == PoolRole.DECODE) 6 else 3,
    )

    private fun services() = listOf(
        ReleaseEntry.Service(
            name = ServiceName("report-model"),
            defaultClass = ClassName("report"),
            prefillPool = PoolName("prefill"),
            decodePool = PoolName("decode"),
            model = ModelName("report-model"),
        ),
        ReleaseEntry.Service(ServiceName("desk"), ClassName("lookup"), plainPool = PoolName("desk")),
    )

    private fun classes() = listOf(
        ReleaseEntry.RequestClass(
            name = ClassName("report"),
            service = ServiceName("report-model"),
            target = LatencyTarget.Stream(2.seconds, 50.milliseconds),
            outputBound = 8000,
        ),
        lookupClass,
        ReleaseEntry.RequestClass(
            name = ClassName("action"),
            service = ServiceName("desk"),
            target = LatencyTarget.Answer(2.seconds),
            idempotent = false,
        ),
    )
}
