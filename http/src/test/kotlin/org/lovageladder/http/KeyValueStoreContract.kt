package org.lovageladder.http

import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.KeyValueStore
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoreWrite
import org.lovageladder.core.StoredEntry
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Behaviour required of every [KeyValueStore]. */
internal abstract class KeyValueStoreContract {
    protected abstract val store: KeyValueStore

    /** Makes the service unavailable and closes its connections. */
    protected abstract fun stopService()

    /** Makes the next write take effect but drops its answer. */
    protected abstract fun loseNextAnswer()

    /** Advances the clock past the end of a lease of one second; nothing to do for a service that uses real time. */
    protected abstract fun expireLease()

    @AfterTest
    fun closeStore() {
        store.close()
    }

    @Test
    fun createWritesAllKeysOrNone() {
        val rows = listOf(
            CreateRow(listOf("a" to "1"), conflict = null),
            CreateRow(listOf("a" to "2"), conflict = listOf("a" to "1")),
            CreateRow(listOf("b" to "3", "a" to "4"), conflict = listOf("a" to "1")),
            CreateRow(listOf("b" to "5", "c" to "ő {}\n"), conflict = null),
            CreateRow(listOf("c" to "6", "d" to "", "b" to "7"), conflict = listOf("c" to "ő {}\n", "b" to "5")),
        )
        for (row in rows) {
            val answer = call(create(*row.writes.toTypedArray()))
            if (row.conflict == null) {
                val written = assertIs<StoreAnswer.Written>(answer, "$row")
                row.writes.forEach { (key, value) ->
                    assertEquals(listOf(StoredEntry(key, value, written.revision)), read(key), "$row")
                }
            } else {
                val conflict = assertIs<StoreAnswer.Conflict>(answer, "$row")
                assertEquals(row.conflict, conflict.current.map { it.key to it.value }, "$row")
            }
        }
        assertEquals(emptyList(), read("d"))
    }

    @Test
    fun replaceRequiresTheExpectedRevision() {
        val first = assertIs<StoreAnswer.Written>(call(create("k" to "1"))).revision
        val second = assertIs<StoreAnswer.Written>(call(StoreRequest.Replace(StoreWrite("k", "2"), first))).revision
        assertTrue(second > first)
        for (stale in listOf(first, second + 1, 0)) {
            val conflict = assertIs<StoreAnswer.Conflict>(call(StoreRequest.Replace(StoreWrite("k", "3"), stale)))
            assertEquals(listOf(StoredEntry("k", "2", second)), conflict.current)
        }
        val absent = assertIs<StoreAnswer.Conflict>(call(StoreRequest.Replace(StoreWrite("none", "3"), first)))
        assertEquals(emptyList(), absent.current)
        assertEquals(emptyList(), read("none"))
    }

    @Test
    fun readAfterReturnsKeysInOrder() {
        val keys = listOf("n/1", "n/2", "n/2/x", "n/ő", "n0", "m", "o")
        call(create(*keys.map { it to "v" }.toTypedArray()))
        val rows = listOf(
            RangeRow("n/", "", 9, listOf("n/1", "n/2", "n/2/x", "n/ő")),
            RangeRow("n/", "n/", 9, listOf("n/1", "n/2", "n/2/x", "n/ő")),
            RangeRow("n/", "n/2", 9, listOf("n/2/x", "n/ő")),
            RangeRow("n/", "n/1", 2, listOf("n/2", "n/2/x")),
            RangeRow("n/", "n/ő", 9, emptyList()),
            RangeRow("n/", "z", 9, emptyList()),
            RangeRow("x/", "", 9, emptyList()),
        )
        for (row in rows) {
            val found = assertIs<StoreAnswer.Found>(call(StoreRequest.ReadAfter(row.prefix, row.after, row.limit)))
            assertEquals(row.keys, found.entries.map { it.key }, "$row")
        }
    }

    @Test
    fun expiredLeaseRemovesItsKeys() {
        val lease = assertIs<StoreAnswer.Leased>(call(StoreRequest.GrantLease(1.seconds)))
        assertEquals(1.seconds, lease.timeToLive)
        assertIs<StoreAnswer.Written>(call(StoreRequest.Create(listOf(StoreWrite("seat", "me")), lease.lease)))
        val renewed = assertIs<StoreAnswer.Leased>(call(StoreRequest.RenewLease(lease.lease)))
        assertEquals(lease, renewed)
        expireLease()
        awaitTrue("the key is removed with its lease") { read("seat").isEmpty() }
        val expired = assertIs<StoreAnswer.Leased>(call(StoreRequest.RenewLease(lease.lease)))
        assertEquals(0.seconds, expired.timeToLive)
        val rejected = call(StoreRequest.Create(listOf(StoreWrite("seat", "late")), lease.lease))
        assertEquals(FaultCause.REJECTED, assertIs<StoreAnswer.Unavailable>(rejected).fault.cause)
        assertEquals(emptyList(), read("seat"))
    }

    @Test
    fun watchReportsWritesUnderItsPrefixUntilClosed() {
        val seen = LinkedBlockingQueue<StoredEntry>()
        val ends = LinkedBlockingQueue<Fault>()
        val handle = store.watch("w/", seen::add, ends::add)
        awaitEstablished("w/marker", seen)
        val first = assertIs<StoreAnswer.Written>(call(create("w/1" to "ő", "w0" to "no", "v" to "no"))).revision
        val second = assertIs<StoreAnswer.Written>(call(StoreRequest.Replace(StoreWrite("w/1", "b"), first))).revision
        assertEquals(StoredEntry("w/1", "ő", first), nextEntry(seen))
        assertEquals(StoredEntry("w/1", "b", second), nextEntry(seen))
        handle.close()
        call(create("w/2" to "c"))
        assertTrue(ends.isEmpty(), "closing a watch is not reported as a fault")
        assertTrue(seen.isEmpty(), "$seen")
    }

    @Test
    fun endOfAWatchIsReportedOnce() {
        val seen = LinkedBlockingQueue<StoredEntry>()
        val ends = LinkedBlockingQueue<Fault>()
        store.watch("w/", seen::add, ends::add)
        awaitEstablished("w/marker", seen)
        stopService()
        assertNotNull(ends.poll(10, TimeUnit.SECONDS))
        store.watch("w/", seen::add, ends::add)
        assertNotNull(ends.poll(10, TimeUnit.SECONDS))
        assertNull(ends.poll())
    }

    @Test
    fun everyRequestIsUnavailableWhenTheServiceIsDown() {
        stopService()
        val requests = listOf(
            create("a" to "1"),
            StoreRequest.Replace(StoreWrite("a", "1"), 1),
            StoreRequest.Read("a"),
            StoreRequest.ReadAfter("a", ""),
            StoreRequest.GrantLease(1.seconds),
            StoreRequest.RenewLease(1),
        )
        for (request in requests) {
            assertIs<StoreAnswer.Unavailable>(call(request), "$request")
        }
    }

    @Test
    fun writeWithLostAnswerTakesEffect() {
        loseNextAnswer()
        assertIs<StoreAnswer.Unavailable>(call(create("lost" to "1")))
        val written = read("lost").single()
        assertEquals("1", written.value)
        loseNextAnswer()
        assertIs<StoreAnswer.Unavailable>(call(StoreRequest.Replace(StoreWrite("lost", "2"), written.revision)))
        assertEquals("2", read("lost").single().value)
    }

    protected fun call(request: StoreRequest): StoreAnswer =
        awaitCallback { answer -> store.call(request, timeout = 5.seconds, answer) }

    protected fun read(key: String): List<StoredEntry> =
        assertIs<StoreAnswer.Found>(call(StoreRequest.Read(key))).entries

    protected fun create(vararg writes: Pair<String, String>): StoreRequest.Create =
        StoreRequest.Create(writes.map { (key, value) -> StoreWrite(key, value) })

    private fun nextEntry(seen: LinkedBlockingQueue<StoredEntry>) =
        assertNotNull(seen.poll(10, TimeUnit.SECONDS), "the watch reported no entry")

    /** Writes markers until the watch reports one, then removes all reported markers from [seen]. */
    private fun awaitEstablished(prefix: String, seen: LinkedBlockingQueue<StoredEntry>) {
        var written = 0
        var reported: StoredEntry?
        do {
            call(create("$prefix${++written}" to ""))
            reported = seen.poll(MARKER_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
        } while (reported == null)
        while (reported?.key != "$prefix$written") reported = nextEntry(seen)
    }

    private data class CreateRow(val writes: List<Pair<String, String>>, val conflict: List<Pair<String, String>>?)

    private data class RangeRow(val prefix: String, val after: String, val limit: Int, val keys: List<String>)

    private companion object {
        const val MARKER_INTERVAL_MILLISECONDS = 50L
    }
}
