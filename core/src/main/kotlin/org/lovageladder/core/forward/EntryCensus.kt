package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts the entries, among which limits for all of them are shared. An entry whose registration vanished counts for
 * [LINGER] more, since it may have lapsed while the registry was away. [expected] is the number before any is known.
 * Confined to one thread.
 */
internal class EntryCensus(private val expected: Int) {
    private val present = HashSet<ProcessName>()
    private val vanished = HashMap<ProcessName, Moment>()

    /** The registration of entry [name] is there, or not any more. */
    fun seen(name: ProcessName, registered: Boolean, now: Moment) {
        if (registered) {
            present += name
            vanished -= name
        } else if (present.remove(name)) {
            vanished[name] = now
        }
    }

    /** The registry is read anew; entries that are not seen again have vanished. */
    fun readAnew(now: Moment) {
        present.forEach { vanished[it] = now }
        present.clear()
    }

    /** Entries at [now], at least this one. */
    fun count(now: Moment): Int {
        vanished.values.removeIf { now - it > LINGER }
        val known = present.size + vanished.size
        return if (known == 0) expected else known
    }

    private companion object {
        val LINGER: Duration = 10.seconds
    }
}

/** Where entries register, so that each knows how many they are. */
public interface EntryRegistration {
    /** Registers this entry for [period]; the answer is the lease of the registration, null when it is not known. */
    public fun register(period: Duration, answer: (Long?) -> Unit)

    /** Extends [lease] by its period; tells whether it still held. */
    public fun renew(lease: Long, answer: (Boolean) -> Unit)
}

/** Keeps this entry registered, under a lease of [period]. Confined to one thread. */
public class EntryPresence(
    private val registration: EntryRegistration,
    private val scheduler: Scheduler,
    private val period: Duration,
) {
    /** Begins; called once. */
    public fun start() {
        registration.register(period) { lease ->
            if (lease == null) scheduler.after(period * RETRY_SHARE) { start() } else renewLater(lease)
        }
    }

    private fun renewLater(lease: Long) {
        scheduler.after(period * RENEWAL_SHARE) {
            registration.renew(lease) { extended -> if (extended) renewLater(lease) else start() }
        }
    }

    private companion object {
        const val RENEWAL_SHARE = 0.4
        const val RETRY_SHARE = 0.2
    }
}
