package org.lovageladder.client

import com.github.ajalt.clikt.testing.test
import com.github.michaelbull.result.unwrap
import org.lovageladder.core.Address
import org.lovageladder.core.EventKind
import org.lovageladder.core.HostName
import org.lovageladder.core.HostRole
import org.lovageladder.core.NoteId
import org.lovageladder.core.PlaceName
import org.lovageladder.core.PoolName
import org.lovageladder.core.PoolRole
import org.lovageladder.core.ReleaseEntry
import org.lovageladder.core.ReleaseNote
import org.lovageladder.core.UpstreamName
import org.lovageladder.http.openEtcdStore
import org.lovageladder.standin.KeyValueStandIn
import java.net.ServerSocket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class ProcessCommandsTest {
    private val entry = FakeProcess(
        """{"role": "entry", "process": "e", "ready": true, "draining": false, "release": 1, "requestsInFlight": 3,
            "connectedHosts": ["desk-1"], "upstreams": [{"upstream": "desk-1", "pool": "desk", "host": "desk-1",
            "place": "bc-coast-a", "state": "PROBATION", "load": null, "inFlight": 2,
            "firstLatencyMicroseconds": 12500, "tokenGapMicroseconds": 0}]}""",
        listOf(event(1000, 0, "e", EventKind.REQUEST_ACCEPTED), event(1000, 2, "e", EventKind.REQUEST_FINISHED)),
    )
    private val companion = FakeProcess(
        """{"role": "companion", "process": "c", "ready": true, "leaving": true, "release": 1, "host": "desk-1",
            "incarnation": 7, "connectedEntries": ["e"], "loads": [{"upstream": "desk-1", "piecesTotal": 80,
            "piecesFree": 78, "running": 2, "waiting": 1}], "reservations": 0, "runningCalls": 2, "startedClaims": 1}""",
        listOf(event(1000, 1, "c", EventKind.CLAIM_STARTED, "desk-1")),
    )
    private val closedAddress = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val keyValueService = KeyValueStandIn.start()
    private val storeAddress = "127.0.0.1:${keyValueService.port}"

    @AfterTest
    fun close() {
        entry.close()
        companion.close()
        keyValueService.close()
    }

    private fun hostEntry(name: String, role: HostRole, admin: Address) = ReleaseEntry.Host(
        name = HostName(name),
        place = PlaceName("bc-coast-a"),
        role = role,
        peerAddress = Address("127.0.0.1", 1).takeIf { role == HostRole.COMPANION },
        adminAddress = admin,
    )

    private fun publish(vararg hosts: ReleaseEntry.Host) {
        val upstream = ReleaseEntry.Upstream(
            name = UpstreamName("desk-1"),
            pool = PoolName("desk"),
            host = HostName("desk-1"),
            address = Address("127.0.0.1", 2),
        )
        val added = hosts.toList() + ReleaseEntry.Pool(PoolName("desk"), PoolRole.PLAIN) + upstream
        val note = ReleaseNote(NoteId("first"), added = added)
        openEtcdStore(listOf(Address("127.0.0.1", keyValueService.port))).use { keyValueStore ->
            NotePublisher(NoteStore(keyValueStore)).publish(NoteDocument("first.json", "", note)).unwrap()
        }
    }

    private fun publishAll() = publish(
        hostEntry("desk-1", HostRole.COMPANION, companion.address),
        hostEntry("entry-1", HostRole.ENTRY, entry.address),
        hostEntry("entry-2", HostRole.ENTRY, closedAddress),
    )

    private data class CommandOutput(val status: Int, val lines: List<String>)

    private fun run(vararg arguments: String): CommandOutput {
        val result = LovageladderCommand().test(arguments.toList() + listOf("--store", storeAddress))
        return CommandOutput(result.statusCode, result.stdout.trim().lines())
    }

    @Test
    fun statusShowsProcessesThatAnswerAndThoseThatDoNot() {
        publishAll()
        val output = run("status")
        assertEquals(ExitCode.UNREACHABLE.status, output.status)
        assertEquals(
            listOf(
                "PROCESS  ROLE       PLACE       ADMIN            STATE    RELEASE  WORK",
                "c        companion  bc-coast-a  ${companion.address}  leaving  1        " +
                    "2 calls, 0 reservations, 1 entries connected",
                "e        entry      bc-coast-a  ${entry.address}  ready    1        3 requests, 1 hosts connected",
            ),
            output.lines.take(3),
        )
        assertEquals(true, output.lines[3].startsWith("no answer from entry-2: CONNECT at $closedAddress: UNREACHABLE"))
    }

    @Test
    fun processesNamedByAddressAreQueriedWithoutTheKeyValueService() {
        keyValueService.close()
        assertEquals(ExitCode.UNREACHABLE.status, run("status").status)
        val output = run("status", "--process", entry.address.toString())
        assertEquals(ExitCode.DONE.status, output.status)
        assertEquals(true, output.lines[1].startsWith("e        entry"))
    }

    @Test
    fun upstreamsCombinesLoadsOfCompanionsAndViewsOfEntries() {
        publishAll()
        val cells = run("upstreams").lines[1].split(Regex("\\s{2,}"))
        assertEquals(
            listOf("desk-1", "desk", "desk-1", "bc-coast-a", "probation", "78/80", "2", "1", "12.5ms", "-"),
            cells,
        )
    }

    @Test
    fun timelineMergesTheEventsOfProcessesAndAppliesFilters() {
        publish(
            hostEntry("desk-1", HostRole.COMPANION, companion.address),
            hostEntry("entry-1", HostRole.ENTRY, entry.address),
        )
        val codes = { output: CommandOutput -> output.lines.drop(1).map { it.split(Regex("\\s+"))[2] } }
        val all = run("timeline")
        assertEquals(ExitCode.DONE.status, all.status)
        assertEquals(listOf("LL-2001", "LL-2205", "LL-2003"), codes(all))
        assertEquals(listOf("LL-2205"), codes(run("timeline", "--upstream", "desk-1")))
        assertEquals(emptyList(), codes(run("timeline", "--request", "r-2")))
        assertEquals(emptyList(), codes(run("timeline", "--since", "1970-01-01T00:00:01Z")))
        assertEquals("It was answered completely. Route: started once on desk-1.", run("explain", "r-1").lines.last())
        assertEquals(ExitCode.FAILED.status, run("explain", "r-2").status)
    }

    @Test
    fun drainAcceptsAHostAProcessOrAnAddress() {
        publishAll()
        assertEquals(ExitCode.DONE.status, run("drain", "desk-1").status)
        assertEquals(true, companion.isDrainRequested)
        assertEquals(false, entry.isDrainRequested)
        assertEquals(ExitCode.DONE.status, run("drain", "e").status)
        assertEquals(true, entry.isDrainRequested)
        assertEquals(ExitCode.DONE.status, run("drain", companion.address.toString()).status)
        assertEquals(ExitCode.BAD_INPUT.status, run("drain", "nobody").status)
    }
}
