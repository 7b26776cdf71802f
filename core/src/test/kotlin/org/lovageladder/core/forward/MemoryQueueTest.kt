package org.lovageladder.core.forward

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Load patterns of a load peak: more prompts than decode memory holds. Each engine here has memory for two requests.
 */
class MemoryQueueTest {
    private val fixture = ForwardFixture(memory = 8_000)

    private fun occupyAllMemory(): List<ReceivedCall> {
        repeat(4) { fixture.submit("/stream/fill", callerTimeout = 10.seconds) }
        fixture.scheduler.advance(300.milliseconds)
        assertEquals(4, fixture.upstreams.receivedCalls.size)
        return fixture.upstreams.receivedCalls.toList()
    }

    private fun finish(call: ReceivedCall) {
        call.head(200)
        fixture.upstreams.finish(call)
    }

    /** Three requests wait behind those that hold all memory; then one of these ends. */
    private fun queueThreeAndFreeOne() {
        val running = occupyAllMemory()
        repeat(3) { fixture.submit("/stream/1", callerTimeout = 10.seconds) }
        fixture.scheduler.advance(200.milliseconds)
        finish(running.first())
        fixture.scheduler.advance(300.milliseconds)
    }

    @Test
    fun waitingRequestIsServedWhenMemoryIsFreed() {
        val running = occupyAllMemory()
        val waiting = fixture.submit("/stream/1", callerTimeout = 10.seconds)
        fixture.scheduler.advance(200.milliseconds)
        finish(running.first())
        fixture.scheduler.advance(200.milliseconds)
        assertEquals(5, fixture.upstreams.receivedCalls.size)
        assertNull(waiting.reply.refusal)
    }

    @Test
    fun waitingRequestIsRefusedBeforeItsTarget() {
        occupyAllMemory()
        val waiting = fixture.submit("/stream/1", callerTimeout = 10.seconds)
        fixture.scheduler.advance(900.milliseconds)
        val refusal = assertNotNull(waiting.reply.refusal)
        assertEquals(RefusalReason.OVERLOADED, refusal.reason)
        assertTrue(assertNotNull(refusal.retryAfter) in 2.seconds..10.seconds / 3, "its target can no longer be met")
        assertEquals(4, fixture.upstreams.receivedCalls.size)
    }

    @Test
    fun requestBehindALongQueueIsRefusedAtOnce() {
        queueThreeAndFreeOne()
        val late = fixture.submit("/stream/2", callerTimeout = 10.seconds)
        assertEquals(RefusalReason.OVERLOADED, late.reply.refusal?.reason)
    }

    /**
     * Load pattern: a load peak of a second or two; callers refused in its first moments can still be served in time.
     */
    @Test
    fun callerRefusedEarlyReturnsWithinItsTarget() {
        queueThreeAndFreeOne()
        val retryAfter =
            assertNotNull(fixture.submit("/stream/2", callerTimeout = 10.seconds).reply.refusal?.retryAfter)
        assertTrue(retryAfter in 100.milliseconds..680.milliseconds, "$retryAfter of a target of 900 ms")
    }

    /** Load pattern: one of many entries, with few streams, when two arrive together during a load peak. */
    @Test
    fun idleTimeIsNotCountedAsWaitForMemory() {
        val running = occupyAllMemory()
        fixture.scheduler.advance(5.seconds)
        val pair = List(2) {
            fixture.submit("/stream/1", callerTimeout = 10.seconds).also { fixture.scheduler.advance(20.milliseconds) }
        }
        fixture.scheduler.advance(200.milliseconds)
        assertTrue(pair.all { it.reply.refusal == null })
        running.take(2).forEach(::finish)
        fixture.scheduler.advance(200.milliseconds)
        assertEquals(6, fixture.upstreams.receivedCalls.size)
    }

    @Test
    fun memoryOfADisconnectedCallerIsReleased() {
        val submitted = fixture.submit("/stream/1", callerTimeout = 10.seconds)
        submitted.handle?.onCallerDisconnected()
        fixture.scheduler.advance(1.seconds)
        assertEquals(0, fixture.upstreams.reservations)
    }

    /** Load pattern: a release in which each upstream is replaced by one with another name. */
    @Test
    fun stateOfRemovedEnginesIsDropped() {
        val last = occupyAllMemory().last()
        ForwardFixture.REGISTRATIONS.forEach {
            fixture.forwarder.onRegistryChange(RegistryChange.Removed(it.name, revision = 2))
        }
        assertEquals(2, fixture.forwarder.trackedEngines, "streams still hold memory at both engines")
        fixture.upstreams.receivedCalls.toList().forEach(::finish)
        fixture.forwarder.onRegistryChange(RegistryChange.Removed(last.attempt.upstream.name, revision = 3))
        assertEquals(0, fixture.forwarder.trackedEngines)
    }
}
