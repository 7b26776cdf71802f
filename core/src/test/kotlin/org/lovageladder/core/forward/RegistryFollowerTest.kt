package org.lovageladder.core.forward

import org.lovageladder.core.ReleaseVersion
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an entry keeps up with the registry when watches break. */
class RegistryFollowerTest {
    /** A registry whose first watch is cut after a second; a change was made meanwhile, and its history is gone. */
    private class ForgetfulRegistry(private val scheduler: VirtualScheduler) : UpstreamRegistry {
        var version = 1L
        var reads = 0
        var watches = 0

        override fun read(answer: (RegistryRead) -> Unit) {
            reads += 1
            val snapshot = RegistrySnapshot(version, ForwardWorld.configuration(version), ForwardWorld.MEMBERS)
            scheduler.after(12.milliseconds) { answer(RegistryRead.Whole(snapshot)) }
        }

        override fun watch(revision: Long, wait: Duration, answer: (RegistryWatch) -> Unit) {
            watches += 1
            if (watches == 1) {
                scheduler.after(1.seconds) { answer(RegistryWatch.Failed("cut")) }
            } else {
                scheduler.after(wait) { answer(RegistryWatch.HistoryLost) }
            }
        }
    }

    /** Load pattern: the store forgets its history right when a watch begins anew; that watch hears nothing. */
    @Test
    fun changeMadeWhileAWatchWasCutIsKnownSoonAfter() {
        val scheduler = VirtualScheduler()
        val registry = ForgetfulRegistry(scheduler)
        val versions = ArrayList<ReleaseVersion>()
        val listener =
            object : RegistryListener {
                override fun configured(configuration: Configuration) {
                    versions += configuration.version
                }

                override fun changed(change: RegistryChange) = Unit
            }
        RegistryFollower(registry, scheduler, listener).start()
        scheduler.advance(500.milliseconds)
        registry.version = 2
        scheduler.advance(1.seconds)
        assertEquals(listOf(ReleaseVersion(1), ReleaseVersion(2)), versions)
        assertEquals(2, registry.reads)
    }
}
