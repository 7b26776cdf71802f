package org.lovageladder.measure

import org.lovageladder.core.AcceptedNote
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

/**
 * A release of [companions] companions with one upstream each, in two data centres: a quarter prefill, half decode and
 * a quarter plain.
 */
internal class Fleet(private val companions: Int) {
    private val prefill = ReleaseEntry.Pool(PoolName("prefill"), PoolRole.PREFILL)
    private val decode = ReleaseEntry.Pool(PoolName("decode"), PoolRole.DECODE)
    private val plain = ReleaseEntry.Pool(PoolName("desk"), PoolRole.PLAIN)

    /** The note that adds all entries of the release. */
    fun note(): AcceptedNote = AcceptedNote(RELEASE_VERSION, ReleaseNote(NoteId("fleet"), added = entries()))

    private fun entries(): List<ReleaseEntry> {
        val numbers = 0 until companions
        return listOf(host(ENTRY_HOST, ENTRY_PLACE, HostRole.ENTRY), prefill, decode, plain) +
            numbers.map { host(hostName(it), placeOf(it), HostRole.COMPANION) } +
            numbers.map(::upstream) +
            services()
    }

    private fun host(name: HostName, place: PlaceName, role: HostRole) =
        ReleaseEntry.Host(name, place, role, PEER_ADDRESS.takeIf { role == HostRole.COMPANION }, ADMIN_ADDRESS)

    private fun upstream(number: Int): ReleaseEntry.Upstream {
        val pool = poolOf(number)
        return ReleaseEntry.Upstream(
            name = upstreamName(number),
            pool = pool.name,
            host = hostName(number),
            address = UPSTREAM_ADDRESS,
            pieces = if (pool == decode) DECODE_PIECES else 0,
        )
    }

    private fun poolOf(number: Int): ReleaseEntry.Pool = when (number % POOL_CYCLE_LENGTH) {
        0 -> prefill
        1 -> plain
        else -> decode
    }

    private fun services() = listOf(
        ReleaseEntry.Service(
            name = GENERATION_SERVICE,
            defaultClass = ClassName("stream"),
            prefillPool = prefill.name,
            decodePool = decode.name,
            model = ModelName("lesson-lm"),
        ),
        ReleaseEntry.Service(LOOKUP_SERVICE, ClassName("lookup"), plainPool = plain.name),
        ReleaseEntry.RequestClass(
            name = ClassName("stream"),
            service = GENERATION_SERVICE,
            target = LatencyTarget.Stream(firstToken = 2.seconds, tokenGap = 200.milliseconds),
        ),
        ReleaseEntry.RequestClass(ClassName("lookup"), LOOKUP_SERVICE, LatencyTarget.Answer(1.seconds)),
    )

    internal companion object {
        val ENTRY_PLACE = PlaceName("place-0")
        val ENTRY_HOST = HostName("entry-0")
        val GENERATION_SERVICE = ServiceName("lesson-lm")
        val LOOKUP_SERVICE = ServiceName("desk")
        const val DECODE_PIECES = 80
        private const val POOL_CYCLE_LENGTH = 4
        private val PEER_ADDRESS = Address("127.0.0.1", 7001)
        private val ADMIN_ADDRESS = Address("127.0.0.1", 7002)
        private val UPSTREAM_ADDRESS = Address("127.0.0.1", 7003)

        fun hostName(number: Int) = HostName("host-$number")

        fun upstreamName(number: Int) = UpstreamName("upstream-$number")

        fun placeOf(number: Int) = PlaceName("place-${number % 2}")
    }
}
