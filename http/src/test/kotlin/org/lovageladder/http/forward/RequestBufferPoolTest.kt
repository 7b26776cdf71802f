package org.lovageladder.http.forward

import kotlin.test.Test
import kotlin.test.assertEquals

private const val LIMIT = 1_000_000
private const val SMALL = RequestBufferPool.SMALL_REQUEST_BYTES

/** Checks the limits on the memory for callers' requests. */
class RequestBufferPoolTest {
    private val pool = RequestBufferPool(LIMIT)

    private class Case(val name: String, val held: Int, val own: Long, val more: Long, val fits: Boolean)

    @Test
    fun largeRequestsLeaveAQuarterToSmallOnes() {
        listOf(
            Case("large in an empty pool", held = 0, own = 0, more = 750_000, fits = true),
            Case("larger than the part for large ones", held = 0, own = 0, more = 750_001, fits = false),
            Case("large in a pool with large ones", held = 700_000, own = 0, more = 50_001, fits = false),
            Case("small beside large ones", held = 750_000, own = 0, more = SMALL.toLong(), fits = true),
            Case("small that grows large", held = 740_000, own = SMALL.toLong(), more = 1, fits = false),
            Case("small in a full pool", held = LIMIT, own = 0, more = 1, fits = false),
            Case("empty in a full pool", held = LIMIT, own = 0, more = 0, fits = true),
            Case("beyond all numbers", held = 0, own = 0, more = Long.MAX_VALUE / 2, fits = false),
        ).forEach { case ->
            val others = holdInSmallShares(case.held)
            val share = pool.newShare()
            share.tryHold(case.own)
            val before = pool.heldBytes
            assertEquals(case.fits, share.tryHold(case.more), case.name)
            assertEquals(if (case.fits) before + case.more.toInt() else before, pool.heldBytes, case.name)
            (others + share + share).forEach { it.release() }
            assertEquals(0, pool.heldBytes, case.name)
        }
    }

    @Test
    fun nothingIsHeldAfterARelease() {
        val share = pool.newShare()
        share.release()
        assertEquals(false, share.tryHold(1))
        assertEquals(0, pool.heldBytes)
    }

    private fun holdInSmallShares(bytes: Int): List<RequestBufferPool.Share> = (0 until bytes step SMALL).map { start ->
        pool.newShare().also { check(it.tryHold(minOf(SMALL, bytes - start).toLong())) }
    }
}
