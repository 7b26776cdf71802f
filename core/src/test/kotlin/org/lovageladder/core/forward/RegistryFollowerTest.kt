package org.lovageladder.core.forward

import org.lovageladder.core.ReleaseVersion
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Following the registry when watches fail. */
class RegistryFollowerTest {
    /** Registry whose first watch fails after a second. A change is made meanwhile, and its history is lost. */
    private class HistoryLosingRegistry(private val scheduler: VirtualScheduler) : RegistryPort {
        var currentVersion = 1L
        var reads = 0
        var watches = 0

        override fun read(answer: (RegistryRead) -> Unit) {
            reads += 1
            val snapshot =
                RegistrySnapshot(
                    currentVersion,
                    ForwardFixture.configuration(currentVersion),
                    ForwardFixture.REGISTRATIONS,
                )
            scheduler.schedule(12.milliseconds) { answer(RegistryRead.Complete(snapshot)) }
        }

        override fun watch(revision: Long, timeout: Duration, answer: (RegistryWatch) -> Unit) {
            watches += 1
            if (watches == 1) {
                scheduler.schedule(1.seconds) { answer(RegistryWatch.Failed("connection lost")) }
            } else {
                scheduler.schedule(timeout) { answer(RegistryWatch.HistoryExpired) }
            }
        }
    }

    /**
     * Load pattern: the store drops its history just when a failed watch is resumed, so the new watch does not report
     * the change.
     */
    @Test
    fun changeMadeDuringAFailedWatchIsReadAgain() {
        val scheduler = VirtualScheduler()
        val registry = HistoryLosingRegistry(scheduler)
        val versions = ArrayList<ReleaseVersion>()
        val listener =
            object : RegistryListener {
                override fun onConfiguration(configuration: ForwardConfiguration) {
                    versions += configuration.version
                }

                override fun onChange(change: RegistryChange) = Unit
            }
        RegistryFollower(registry, scheduler, listener).start()
        scheduler.advance(500.milliseconds)
        registry.currentVersion = 2
        scheduler.advance(1.seconds)
        assertEquals(listOf(ReleaseVersion(1), ReleaseVersion(2)), versions)
        assertEquals(2, registry.reads)
    }
}
