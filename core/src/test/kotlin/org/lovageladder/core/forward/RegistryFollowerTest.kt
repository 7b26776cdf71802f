package org.lovageladder.core.forward

import org.lovageladder.core.ReleaseVersion
import org.lovageladder.core.UpstreamName
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
            val snapshot = RegistrySnapshot(
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
        val listener = object : RegistryListener {
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

    /** Registry that answers reads and watches from lists of epochs; each answer is at a later revision. */
    private class RestoredRegistry(
        private val scheduler: VirtualScheduler,
        private val readEpochs: ArrayDeque<Long>,
        private val watchEpochs: ArrayDeque<Long>,
    ) : RegistryPort {
        private var revision = 10L
        val watchedRevisions = ArrayList<Long>()

        override fun read(answer: (RegistryRead) -> Unit) {
            val epoch = readEpochs.removeFirstOrNull() ?: return
            val reported = RegistryChange.RequestLimitReported(UpstreamName("plain-1"), null)
            val snapshot = RegistrySnapshot(revision / epoch, null, emptyList(), listOf(reported), epoch)
            scheduler.schedule(5.milliseconds) { answer(RegistryRead.Complete(snapshot)) }
        }

        override fun watch(revision: Long, timeout: Duration, answer: (RegistryWatch) -> Unit) {
            watchedRevisions += revision
            val epoch = watchEpochs.removeFirstOrNull() ?: return
            val changes = listOf(RegistryChange.LeaderChanged(hasLeader = true))
            val changed = RegistryWatch.Changed(revision + 1, emptyList(), changes, epoch)
            scheduler.schedule(5.milliseconds) { answer(changed) }
        }
    }

    @Test
    fun restoredRegistryIsReadAnewAndNothingOfAnotherEpochIsApplied() {
        data class Case(
            val name: String,
            val reads: List<Long>,
            val watches: List<Long>,
            val changes: String,
            val watched: String,
        )
        listOf(
            Case("not restored", listOf(1), listOf(1), "full limit leader", "10 11"),
            Case("a watch shows it", listOf(1, 2), listOf(2), "full limit restored full", "10 5"),
            Case("a read shows it", listOf(1, 2), listOf(3), "full limit restored full", "10 5"),
            Case("late answer to a watch", listOf(2, 2), listOf(1, 2), "full limit full limit leader", "5 5 6"),
            Case("late answer to a read", listOf(2, 1, 2), listOf(1), "full limit full limit", "5 5"),
            Case("twice", listOf(1, 2, 3), listOf(2, 3), "full limit restored full restored full", "10 5 3"),
        ).forEach { case ->
            val scheduler = VirtualScheduler()
            val registry = RestoredRegistry(scheduler, ArrayDeque(case.reads), ArrayDeque(case.watches))
            val changes = ArrayList<String>()
            val listener = object : RegistryListener {
                override fun onConfiguration(configuration: ForwardConfiguration) = Unit

                override fun onChange(change: RegistryChange) {
                    changes += when (change) {
                        is RegistryChange.FullRead -> "full"
                        is RegistryChange.RequestLimitReported -> "limit"
                        is RegistryChange.LeaderChanged -> "leader"
                        RegistryChange.Restored -> "restored"
                        else -> "$change"
                    }
                }
            }
            RegistryFollower(registry, scheduler, listener).start()
            scheduler.advance(5.seconds)
            assertEquals(case.changes, changes.joinToString(" "), case.name)
            assertEquals(case.watched, registry.watchedRevisions.joinToString(" "), case.name)
        }
    }
}
