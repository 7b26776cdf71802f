package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Result of a full read of the registry, as of [revision] or later. [configuration] is null when none is stored.
 * [otherChanges] are the facts that entries wrote, oldest first. [epoch] rises each time the registry is restored from
 * an older copy; revisions and leases of different epochs have nothing to do with each other.
 */
public data class RegistrySnapshot(
    val revision: Long,
    val configuration: ForwardConfiguration?,
    val registrations: List<UpstreamRegistration>,
    val otherChanges: List<RegistryChange> = emptyList(),
    val epoch: Long = 0,
)

/** Outcome of a full read of the registry. */
public sealed interface RegistryRead {
    /** The registry was read. */
    public data class Complete(val snapshot: RegistrySnapshot) : RegistryRead

    /** The read failed. */
    public data class Failed(val detail: String) : RegistryRead
}

/** Outcome of one watch of the registry. */
public sealed interface RegistryWatch {
    /** Changes up to [revision] of [epoch], in order; may be empty. */
    public data class Changed(
        val revision: Long,
        val configurations: List<ForwardConfiguration>,
        val changes: List<RegistryChange>,
        val epoch: Long = 0,
    ) : RegistryWatch

    /** The registry no longer keeps the requested changes. */
    public data object HistoryExpired : RegistryWatch

    /** The watch failed. */
    public data class Failed(val detail: String) : RegistryWatch
}

/**
 * Port to the registry of upstreams and the operators' configuration. Answers arrive on the thread of the
 * [RegistryFollower].
 */
public interface RegistryPort {
    /** Reads everything. */
    public fun read(answer: (RegistryRead) -> Unit)

    /** Waits up to [timeout] for changes after [revision]. */
    public fun watch(revision: Long, timeout: Duration, answer: (RegistryWatch) -> Unit): Cancellable

    /**
     * Checks that the registry answers, on a connection of its own: one that is open and carries no other check, or a
     * new one. [answer] gets whether it did in time.
     */
    public fun checkContact(answer: (Boolean) -> Unit): Cancellable
}

/** Receives what a [RegistryFollower] finds, in order. */
public interface RegistryListener {
    /** A configuration was read. */
    public fun onConfiguration(configuration: ForwardConfiguration)

    /** A registration changed, or the registry became available or unavailable. */
    public fun onChange(change: RegistryChange)
}

/**
 * Follows the registry: a full read first, then watches. While the registry is unavailable, the read is retried after
 * short delays. A full read also follows a failed watch and a lost history: a watch resumed where the failed one ended
 * would miss the changes made in between if the registry dropped its history at that moment.
 *
 * Connections can go silent without a reset, usually all at once, and a watch without changes does not show it until it
 * ends. The contact is therefore checked at short intervals; after a failed check, all is read beside the watch, and
 * whichever answers first ends the other.
 *
 * While the registry is unavailable, its contact is checked at much shorter intervals, without waiting for the checks
 * before: a connection that was opened during a cut repeats its first packet only after a second or more. The first
 * check that is answered starts a read on new connections, and tells since when the registry answers again.
 *
 * An answer of a later epoch shows that the registry was restored from an older copy. All is read again then, also when
 * the registry knows the revision of the watch, since it may have reached it by other changes. Answers of an earlier
 * epoch are ignored. Confined to one thread.
 */
public class RegistryFollower(
    private val registry: RegistryPort,
    private val scheduler: Scheduler,
    private val listener: RegistryListener,
) {
    private var isUnavailable = false
    private var consecutiveFailures = 0
    private var lastAnswerAt = scheduler.now()
    private var contactSince: Moment? = null
    private var contactRetry: Cancellable? = null
    private var epoch: Long? = null
    private var runningWatch: Cancellable? = null
    private var isReading = false
    private var readNumber = 0

    /** Begins to follow the registry. Must be called once. */
    public fun start() {
        readAll()
        scheduleContactCheck()
    }

    /** Reads all, until it succeeds or another answer of the registry makes the read needless. */
    private fun readAll() {
        isReading = true
        val number = ++readNumber
        registry.read { read ->
            when {
                number != readNumber -> Unit
                read is RegistryRead.Complete -> onRead(read.snapshot)
                else -> {
                    onFailure()
                    scheduleRead()
                }
            }
        }
    }

    /** Reads all after a delay, unless another read begins or an answer makes it needless before. */
    private fun scheduleRead() {
        val number = readNumber
        scheduler.schedule(retryDelay()) { if (number == readNumber) readAll() }
    }

    private fun endRead() {
        isReading = false
        readNumber += 1
    }

    private fun onRead(snapshot: RegistrySnapshot) {
        endRead()
        onAnswer()
        val known = epoch
        if (known != null && snapshot.epoch < known) {
            scheduler.schedule(INITIAL_RETRY_DELAY) { readAll() }
            return
        }
        epoch = snapshot.epoch
        val isRestored = known != null && snapshot.epoch > known
        if (isRestored) listener.onChange(RegistryChange.Restored)
        snapshot.configuration?.let(listener::onConfiguration)
        listener.onChange(RegistryChange.FullRead(snapshot.registrations))
        // What this process knows of the limits of upstreams is newer than the copy.
        val changes = snapshot.otherChanges.filterNot { isRestored && it is RegistryChange.RequestLimitReported }
        changes.forEach(listener::onChange)
        watchFrom(snapshot.revision)
    }

    private fun onChanges(watch: RegistryWatch.Changed, after: Long) {
        onAnswer()
        if (watch.epoch != epoch) {
            readAll()
            return
        }
        watch.configurations.forEach(listener::onConfiguration)
        watch.changes.forEach(listener::onChange)
        val batchingDelay = if (watch.changes.isEmpty()) Duration.ZERO else BATCHING_DELAY
        scheduler.schedule(batchingDelay) { watchFrom(maxOf(after, watch.revision)) }
    }

    private fun watchFrom(revision: Long) {
        runningWatch?.cancel()
        runningWatch = registry.watch(revision, WATCH_TIMEOUT) { watch ->
            runningWatch = null
            when (watch) {
                is RegistryWatch.Changed -> {
                    endRead()
                    onChanges(watch, after = revision)
                }
                RegistryWatch.HistoryExpired -> {
                    onAnswer()
                    readAll()
                }
                is RegistryWatch.Failed -> if (!isReading) onWatchFailed()
            }
        }
    }

    private fun onWatchFailed() {
        onFailure()
        scheduleRead()
    }

    private fun scheduleContactCheck() {
        scheduler.schedule(CONTACT_CHECK_INTERVAL) {
            registry.checkContact { isAnswered ->
                if (isAnswered) lastAnswerAt = scheduler.now() else onContactLost()
                scheduleContactCheck()
            }
        }
    }

    /**
     * Reads all on another connection, since the watch may wait on a silent one. The watch goes on until then, as a
     * registry that is only slow answers it first.
     */
    private fun onContactLost() {
        if (runningWatch == null || isReading) return
        onFailure()
        readAll()
    }

    private fun retryContact() {
        val startedAt = scheduler.now()
        registry.checkContact { isAnswered ->
            when {
                !isUnavailable -> Unit
                isAnswered -> onContact()
                startedAt >= (contactSince ?: startedAt) -> contactSince = null
            }
        }
        scheduleContactRetry()
    }

    private fun scheduleContactRetry() {
        contactRetry = scheduler.schedule(CONTACT_RETRY_INTERVAL) { retryContact() }
    }

    /** A read that began before the contact was regained may wait on a connection that is still silent. */
    private fun onContact() {
        if (contactSince != null) return
        contactSince = scheduler.now()
        consecutiveFailures = 0
        readAll()
    }

    private fun onAnswer() {
        consecutiveFailures = 0
        lastAnswerAt = scheduler.now()
        if (!isUnavailable) return
        isUnavailable = false
        contactRetry?.cancel()
        val answeringSince = contactSince ?: lastAnswerAt
        contactSince = null
        listener.onChange(RegistryChange.Available(answeringFor = lastAnswerAt - answeringSince))
    }

    private fun onFailure() {
        consecutiveFailures += 1
        if (isUnavailable) return
        isUnavailable = true
        listener.onChange(RegistryChange.Unavailable(silentFor = scheduler.now() - lastAnswerAt))
        scheduleContactRetry()
    }

    private fun retryDelay(): Duration =
        INITIAL_RETRY_DELAY * (1 shl (consecutiveFailures - 1).coerceIn(0, MAXIMUM_RETRY_DELAY_DOUBLINGS))

    private companion object {
        val WATCH_TIMEOUT: Duration = 3.seconds

        /** A silent connection is noticed after this and the timeout of a call, well before a drain ends. */
        val CONTACT_CHECK_INTERVAL: Duration = 1.seconds

        /** The end of an outage is noticed after this and the time of an answer. */
        val CONTACT_RETRY_INTERVAL: Duration = 250.milliseconds

        /** Changes often come in groups, and each answer of the registry has a cost. */
        val BATCHING_DELAY: Duration = 150.milliseconds
        val INITIAL_RETRY_DELAY: Duration = 50.milliseconds
        const val MAXIMUM_RETRY_DELAY_DOUBLINGS = 3
    }
}
