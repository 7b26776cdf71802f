package org.lovageladder.core.forward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Everything that the registry holds, as of [revision] or later. [configuration] is null when none is there; [others]
 * is what entries wrote.
 */
public data class RegistrySnapshot(
    val revision: Long,
    val configuration: Configuration?,
    val members: List<Member>,
    val others: List<RegistryChange> = emptyList(),
)

/** Outcome of a read of the whole registry. */
public sealed interface RegistryRead {
    /** The registry was read. */
    public data class Whole(val snapshot: RegistrySnapshot) : RegistryRead

    /** It was not. */
    public data class Failed(val detail: String) : RegistryRead
}

/** Outcome of one watch of the registry. */
public sealed interface RegistryWatch {
    /** What changed up to [revision], in order; perhaps nothing. */
    public data class Changed(
        val revision: Long,
        val configurations: List<Configuration>,
        val changes: List<RegistryChange>,
    ) : RegistryWatch

    /** The changes asked for are not kept any more. */
    public data object HistoryLost : RegistryWatch

    /** No answer came. */
    public data class Failed(val detail: String) : RegistryWatch
}

/** The registry of upstreams and the operators' configuration. Answers arrive on the thread of the decisions. */
public interface UpstreamRegistry {
    /** Reads all. */
    public fun read(answer: (RegistryRead) -> Unit)

    /** Waits up to [wait] for changes after [revision]. */
    public fun watch(revision: Long, wait: Duration, answer: (RegistryWatch) -> Unit)
}

/** What the follower found, in order. */
public interface RegistryListener {
    /** A configuration was read. */
    public fun configured(configuration: Configuration)

    /** Something changed among the upstreams, or whether the registry answers. */
    public fun changed(change: RegistryChange)
}

/**
 * Keeps up with the registry: reads it whole, then watches it. While it does not answer it is asked again after short
 * pauses. After a watch that broke and after a lost history it is read whole again: a watch that begins anew where one
 * broke hears nothing of what was changed meanwhile if the history goes at that moment. Confined to one thread.
 */
public class RegistryFollower(
    private val registry: UpstreamRegistry,
    private val scheduler: Scheduler,
    private val listener: RegistryListener,
) {
    private var lost = false
    private var failures = 0

    /** Begins; called once. */
    public fun start() {
        readWhole()
    }

    private fun readWhole() {
        registry.read { read ->
            when (read) {
                is RegistryRead.Whole -> {
                    answered()
                    read.snapshot.configuration?.let(listener::configured)
                    listener.changed(RegistryChange.ReadWhole(read.snapshot.members))
                    read.snapshot.others.forEach(listener::changed)
                    watchFrom(read.snapshot.revision)
                }
                is RegistryRead.Failed -> {
                    failed()
                    scheduler.after(pause()) { readWhole() }
                }
            }
        }
    }

    private fun watchFrom(revision: Long) {
        registry.watch(revision, WATCH_WAIT) { watch ->
            when (watch) {
                is RegistryWatch.Changed -> {
                    answered()
                    watch.configurations.forEach(listener::configured)
                    watch.changes.forEach(listener::changed)
                    val gathering = if (watch.changes.isEmpty()) Duration.ZERO else GATHERING_PAUSE
                    scheduler.after(gathering) { watchFrom(maxOf(revision, watch.revision)) }
                }
                RegistryWatch.HistoryLost -> {
                    answered()
                    readWhole()
                }
                is RegistryWatch.Failed -> {
                    failed()
                    scheduler.after(pause()) { readWhole() }
                }
            }
        }
    }

    private fun answered() {
        failures = 0
        if (!lost) return
        lost = false
        listener.changed(RegistryChange.Regained)
    }

    private fun failed() {
        failures += 1
        if (lost) return
        lost = true
        listener.changed(RegistryChange.Lost)
    }

    private fun pause(): Duration = FIRST_PAUSE * (1 shl (failures - 1).coerceIn(0, PAUSE_DOUBLINGS))

    private companion object {
        /** Short, so that a connection which fell silent is noticed. */
        val WATCH_WAIT: Duration = 3.seconds

        /** Changes often come in groups; each answer of the registry is paid for. */
        val GATHERING_PAUSE: Duration = 150.milliseconds
        val FIRST_PAUSE: Duration = 50.milliseconds
        const val PAUSE_DOUBLINGS = 3
    }
}
