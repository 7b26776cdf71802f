package org.lovageladder.core.forward

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Load patterns of a crest: more prompts than decode memory holds. Each engine here holds two requests. */
class MemoryQueueTest {
    private val world = ForwardWorld(memory = 8_000)

    private fun fill(): List<ReceivedCall> {
        repeat(4) { world.submit("/stream/fill", wait = 10.seconds) }
        world.scheduler.advance(300.milliseconds)
        assertEquals(4, world.upstreams.runs.size)
        return world.upstreams.runs.toList()
    }

    @Test
    fun requestThatWaitsIsServedWhenMemoryIsFreed() {
        val running = fill()
        val waiting = world.submit("/stream/1", wait = 10.seconds)
        world.scheduler.advance(200.milliseconds)
        running.first().head(200)
        world.upstreams.finish(running.first())
        world.scheduler.advance(200.milliseconds)
        assertEquals(5, world.upstreams.runs.size)
        assertNull(waiting.reply.refusal)
    }

    @Test
    fun requestThatCannotMeetItsTargetIsRefusedBeforeIt() {
        fill()
        val waiting = world.submit("/stream/1", wait = 10.seconds)
        world.scheduler.advance(900.milliseconds)
        val refusal = assertNotNull(waiting.reply.refusal)
        assertEquals(RefusalReason.OVERLOADED, refusal.reason)
        assertTrue(assertNotNull(refusal.returnAfter) in 2.seconds..10.seconds / 3, "too late for its target")
        assertEquals(4, world.upstreams.runs.size)
    }

    @Test
    fun requestBehindALongQueueIsRefusedAtOnce() {
        val running = fill()
        repeat(3) { world.submit("/stream/1", wait = 10.seconds) }
        world.scheduler.advance(200.milliseconds)
        running.first().head(200)
        world.upstreams.finish(running.first())
        world.scheduler.advance(300.milliseconds)
        val late = world.submit("/stream/2", wait = 10.seconds)
        assertEquals(RefusalReason.OVERLOADED, late.reply.refusal?.reason)
    }

    /** Load pattern: a crest of a second or two; callers that are refused in its first moments can still be served. */
    @Test
    fun callerThatIsRefusedEarlyComesBackWithinItsTarget() {
        val running = fill()
        repeat(3) { world.submit("/stream/1", wait = 10.seconds) }
        world.scheduler.advance(200.milliseconds)
        running.first().head(200)
        world.upstreams.finish(running.first())
        world.scheduler.advance(300.milliseconds)
        val early = assertNotNull(world.submit("/stream/2", wait = 10.seconds).reply.refusal?.returnAfter)
        assertTrue(early in 100.milliseconds..680.milliseconds, "$early of a target of 900 ms")
    }

    /** Load pattern: one of many entries, at which streams are rare, and a crest at which two come at once. */
    @Test
    fun idleTimeDoesNotCountAsAWaitForMemory() {
        val running = fill()
        world.scheduler.advance(5.seconds)
        val pair =
            List(2) {
                world.submit("/stream/1", wait = 10.seconds).also { world.scheduler.advance(20.milliseconds) }
            }
        world.scheduler.advance(200.milliseconds)
        assertTrue(pair.all { it.reply.refusal == null })
        running.take(2).forEach {
            it.head(200)
            world.upstreams.finish(it)
        }
        world.scheduler.advance(200.milliseconds)
        assertEquals(6, world.upstreams.runs.size)
    }

    @Test
    fun memoryOfAClaimThatLeftIsReleased() {
        val submitted = world.submit("/stream/1", wait = 10.seconds)
        submitted.open?.callerLeft()
        world.scheduler.advance(1.seconds)
        assertEquals(0, world.upstreams.reservations)
    }

    /** Load pattern: a release, in which each upstream is replaced by one with another name. */
    @Test
    fun enginesThatAreGoneAreForgotten() {
        val last = fill().last()
        ForwardWorld.MEMBERS.forEach {
            world.forwarder.registryChanged(RegistryChange.Removed(it.name, revision = 2))
        }
        assertEquals(2, world.forwarder.enginesRemembered, "streams still hold memory there")
        world.upstreams.runs.toList().forEach {
            it.head(200)
            world.upstreams.finish(it)
        }
        world.forwarder.registryChanged(RegistryChange.Removed(last.sending.upstream.name, revision = 3))
        assertEquals(0, world.forwarder.enginesRemembered)
    }
}
