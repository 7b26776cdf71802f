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

/** Behaviour required of every [HostList]. */
internal abstract class HostListContract {
    protected abstract val hosts: HostList

    /** Adds [host] to the list, or changes its entry. */
    protected abstract fun putHost(host: ListedHost)

    protected abstract fun removeHost(name: HostName)

    protected abstract fun stopService()

    @Test
    fun readReturnsTheListedHosts() {
        val first = ListedHost(HostName("host-1"), PlaceName("mohacs-telep"), leaving = false)
        val second = ListedHost(HostName("host-2"), PlaceName("bc-coast-a"), leaving = true)
        assertEquals(emptyList(), read())
        putHost(first)
        putHost(second)
        awaitTrue("both hosts are listed") { read()?.toSet() == setOf(first, second) }
        putHost(first.copy(leaving = true))
        awaitTrue("the first host is leaving") { read()?.all { it.leaving } == true }
        removeHost(first.name)
        awaitTrue("the first host is removed") { read() == listOf(second) }
    }

    @Test
    fun readReturnsNullWhenTheServiceIsDown() {
        stopService()
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

    override fun putHost(host: ListedHost) {
        val state = if (host.leaving) "leaving" else "live"
        val body = """{"name":"${host.name}","place":"${host.place}","state":"$state","address":"10.0.0.1:1"}"""
        assertEquals(200, postJson(address, "/v1/hosts", body).status)
    }

    override fun removeHost(name: HostName) {
        assertEquals(200, delete(address, "/v1/hosts/$name").status)
    }

    override fun stopService(): Unit = service.close()

    @Test
    fun readReturnsNullOnFaultyAnswers() {
        val behaviours = listOf(
            PeerBehaviour.CloseOnAccept,
            PeerBehaviour.NeverAnswer,
            PeerBehaviour.Send(FaultyPeer.truncatedAnswer("""{"hosts":[]}""")),
            PeerBehaviour.Send(FaultyPeer.answer(503, """{"hosts":[]}""")),
            PeerBehaviour.Send(FaultyPeer.answer(200, "nonsense")),
            PeerBehaviour.Send(FaultyPeer.answer(200, """{"hosts":[{"name":"a"}]}""")),
        )
        for (behaviour in behaviours) {
            FaultyPeer(behaviour).use { peer ->
                openHttpHostList(peer.address).use { faultyList ->
                    assertNull(awaitCallback { faultyList.read(300.milliseconds, it) }, "$behaviour")
                }
            }
        }
    }
}
