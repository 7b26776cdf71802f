package org.lovageladder.http

import org.lovageladder.core.Address
import org.lovageladder.core.FaultCause
import org.lovageladder.core.KeyValueStore
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoreWrite
import org.lovageladder.standin.KeyValueStandIn
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

internal class InMemoryKeyValueStoreTest : KeyValueStoreContract() {
    private var time = Duration.ZERO
    override val store = InMemoryKeyValueStore { time }

    override fun stopService() {
        store.isDown = true
    }

    override fun loseNextAnswer() {
        store.loseNextAnswer = true
    }

    override fun expireLease() {
        time += 1.seconds
    }
}

internal class EtcdStoreTest : KeyValueStoreContract() {
    private val service = KeyValueStandIn.start()
    private val address = Address("127.0.0.1", service.port)
    override val store: KeyValueStore = openEtcdStore(listOf(address))

    @AfterTest
    fun stop() {
        service.close()
    }

    override fun stopService(): Unit = injectFault("""{"down_ms":600000}""")

    override fun loseNextAnswer(): Unit = injectFault("""{"lose_answers":1}""")

    override fun expireLease(): Unit = Unit

    @Test
    fun faultOfAnAddressIsReportedWithItsCause() {
        val create = create("a" to "1")
        val read = StoreRequest.Read("a")
        val whole = FaultyPeer.answer(200, """{"header":{"revision":"1"}}""")
        val rows = listOf(
            FaultRow(PeerBehaviour.CloseOnAccept, create, FaultCause.CONNECTION_LOST),
            FaultRow(PeerBehaviour.NeverAnswer, create, FaultCause.TIMEOUT),
            FaultRow(PeerBehaviour.NeverAnswer, read, FaultCause.TIMEOUT),
            FaultRow(PeerBehaviour.Send(FaultyPeer.truncatedAnswer("{")), create, FaultCause.CONNECTION_LOST),
            FaultRow(PeerBehaviour.Send(FaultyPeer.answer(503, "{}")), read, FaultCause.REJECTED),
            FaultRow(PeerBehaviour.Send(FaultyPeer.answer(200, "nonsense")), read, FaultCause.PROTOCOL),
            FaultRow(PeerBehaviour.Send(FaultyPeer.answer(200, "{}")), create, FaultCause.PROTOCOL),
            FaultRow(PeerBehaviour.Send("nonsense\r\n\r\n"), create, FaultCause.PROTOCOL),
            FaultRow(PeerBehaviour.Send(whole), read, null),
        )
        for (row in rows) {
            FaultyPeer(row.behaviour).use { peer ->
                openEtcdStore(listOf(peer.address)).use { faultyStore ->
                    val answer = awaitCallback { faultyStore.call(row.request, timeoutFor(row.cause), it) }
                    val cause = (answer as? StoreAnswer.Unavailable)?.fault?.cause
                    assertEquals(row.cause, cause, "$row: $answer")
                }
            }
        }
    }

    /** A short timeout only for the silent peer; the other faults may be slow to appear on a busy machine. */
    private fun timeoutFor(cause: FaultCause?) = if (cause == FaultCause.TIMEOUT) 300.milliseconds else 20.seconds

    @Test
    fun onlyRequestsWithoutEffectAreRetriedAtTheNextAddress() {
        val create = create("moved" to "1")
        val replace = StoreRequest.Replace(StoreWrite("moved", "2"), 1)
        val read = StoreRequest.Read("moved")
        val rows = listOf(
            FailoverRow(first = PeerBehaviour.NeverAnswer, create, isRetried = false),
            FailoverRow(PeerBehaviour.Send(FaultyPeer.truncatedAnswer("")), create, isRetried = false),
            FailoverRow(PeerBehaviour.Send(FaultyPeer.truncatedAnswer("")), replace, isRetried = false),
            FailoverRow(
                PeerBehaviour.Send(FaultyPeer.truncatedAnswer("")),
                StoreRequest.GrantLease(1.seconds),
                isRetried = false,
            ),
            FailoverRow(PeerBehaviour.Send(FaultyPeer.truncatedAnswer("")), read, isRetried = true),
            FailoverRow(first = null, read, isRetried = true),
            FailoverRow(first = null, replace, isRetried = true),
        )
        for (row in rows) {
            val peer = row.first?.let { FaultyPeer(it) }
            openEtcdStore(listOf(peer?.address ?: FaultyPeer.unusedAddress(), address)).use { failoverStore ->
                val answer = awaitCallback { failoverStore.call(row.request, 500.milliseconds, it) }
                assertEquals(row.isRetried, answer !is StoreAnswer.Unavailable, "$row: $answer")
                assertTrue(peer == null || peer.requests.size <= 1, "sent twice: ${peer?.requests}")
            }
            peer?.close()
        }
        assertEquals(emptyList(), read("moved"), "no write with a lost answer was retried")
    }

    @Test
    fun callToSlowServiceTimesOut() {
        injectFault("""{"slow_ms":60000,"for_ms":600000}""")
        val elapsed = measureTime {
            val answer = awaitCallback { store.call(create("a" to "1"), 200.milliseconds, it) }
            assertEquals(FaultCause.TIMEOUT, assertIs<StoreAnswer.Unavailable>(answer).fault.cause)
        }
        assertTrue(elapsed < 5.seconds, "$elapsed")
    }

    @Test
    fun valueOfOneMegabyteIsStored() {
        val large = "x".repeat(1_000_000)
        assertIs<StoreAnswer.Written>(call(create("large" to large)))
        assertEquals(large, read("large").single().value)
    }

    private fun injectFault(json: String) {
        assertEquals(200, postJson(address, "/fault", json).status)
    }

    private data class FaultRow(val behaviour: PeerBehaviour, val request: StoreRequest, val cause: FaultCause?)

    private data class FailoverRow(val first: PeerBehaviour?, val request: StoreRequest, val isRetried: Boolean)
}
