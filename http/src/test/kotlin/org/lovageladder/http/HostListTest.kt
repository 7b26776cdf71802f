package org.lovageladder.http

import org.lovageladder.core.Address
import org.lovageladder.core.HostList
import org.lovageladder.core.HostName
import org.lovageladder.core.ListedHost
import org.lovageladder.core.PlaceName
import org.lovageladder.standin.HostListSettings
import org.lovageladder.standin.HostListStandIn
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What every [HostList] has to do. */
internal abstract class HostListContract {
    protected abstract val hosts: HostList

    /** Lists [host], or lists it otherwise than before. */
    protected abstract fun list(host: ListedHost)

    protected abstract fun remove(name: HostName)

    protected abstract fun takeDown()

    @Test
    fun hostsAreReadAsTheyAreListed() {
        val first = ListedHost(HostName("host-1"), PlaceName("mohacs-telep"), leaving = false)
        val second = ListedHost(HostName("host-2"), PlaceName("bc-coast-a"), leaving = true)
        assertEquals(emptyList(), read())
        list(first)
        list(second)
        awaitTrue("both are listed") { read()?.toSet() == setOf(first, second) }
        list(first.copy(leaving = true))
        awaitTrue("the first is leaving") { read()?.all { it.leaving } == true }
        remove(first.name)
        awaitTrue("the first is gone") { read() == listOf(second) }
    }

    @Test
    fun aListThatIsDownIsNull() {
        takeDown()
        assertNull(read())
    }

    private fun read(): List<ListedHost>? = awaitCallback { hosts.read(timeout = 5.seconds, it) }
}

internal class HttpHostListTest : HostListContract() {
    private val service = HostListStandIn.start(settings = HostListSettings(lag = 1.milliseconds))
    private val address = Address("127.0.0.1", service.port)
    override val hosts: HostList = openHttpHostList(address)

    @AfterTest
    fun stop() {
        hosts.close()
        service.close()
    }

    override fun list(host: ListedHost) {
        val state = if (host.leaving) "leaving" else "live"
        val body = """{"name":"${host.name}","place":"${host.place}","state":"$state","address":"10.0.0.1:1"}"""
        assertEquals(200, postJson(address, "/v1/hosts", body).status)
    }

    override fun remove(name: HostName) {
        assertEquals(200, delete(address, "/v1/hosts/$name").status)
    }

    override fun takeDown(): Unit = service.close()

    @Test
    fun faultyAnswersAreNull() {
        val behaviours = listOf(
            PeerBehaviour.CloseAtOnce,
            PeerBehaviour.Silence,
            PeerBehaviour.Send(FaultyPeer.cutAnswer("""{"hosts":[]}""")),
            PeerBehaviour.Send(FaultyPeer.answer(503, """{"hosts":[]}""")),
            PeerBehaviour.Send(FaultyPeer.answer(200, "nonsense")),
            PeerBehaviour.Send(FaultyPeer.answer(200, """{"hosts":[{"name":"a"}]}""")),
        )
        for (behaviour in behaviours) {
            FaultyPeer(behaviour).use { peer ->
                openHttpHostList(peer.address).use { faulty ->
                    assertNull(awaitCallback { faulty.read(300.milliseconds, it) }, "$behaviour")
                }
            }
        }
    }
}
