package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.rendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts and ranks the running entries, which share the limits that apply to all of them together. [self] is the name
 * of this process. An entry whose registration is missing still counts for [MISSING_TIMEOUT], since the registration
 * may only have expired during a registry outage. [expectedCount] is returned until any entry is known. Confined to one
 * thread.
 */
internal class EntryCounter(private val self: ProcessName, private val expectedCount: Int) {
    private val registered = HashSet<ProcessName>()
    private val missingSince = HashMap<ProcessName, Moment>()
    private val ranks = HashMap<String, Int>()
    private var registryUnavailableSince: Moment? = null

    /** Records whether entry [name] is registered. */
    fun recordRegistration(name: ProcessName, isRegistered: Boolean, now: Moment) {
        if (isRegistered) {
            val isKnown = missingSince.remove(name) != null
            if (registered.add(name) && !isKnown) ranks.clear()
        } else if (registered.remove(name)) {
            missingSince[name] = now
        }
    }

    /** Marks all entries as missing before the registrations of a full read are recorded. */
    fun markAllMissing(now: Moment) {
        registered.forEach { missingSince[it] = now }
        registered.clear()
    }

    /** Number of entries at [now], at least 1. */
    fun count(now: Moment): Int {
        val known = countKnown(now)
        return if (known == 0) expectedCount else known
    }

    /**
     * Number of entries that precede this process, [self], in the order in which they share what belongs to [key]. The
     * order is the same for all processes that know the same entries. Null when this process is not known.
     */
    fun rank(key: String, now: Moment): Int? {
        countKnown(now)
        if (self !in registered && self !in missingSince) return null
        return ranks.getOrPut(key) { countPreceding(key) }
    }

    private fun countPreceding(key: String): Int {
        val ownHash = rendezvousHash(key, self.text)
        val isPreceding = { other: ProcessName -> rendezvousHash(key, other.text) < ownHash }
        return registered.count(isPreceding) + missingSince.keys.count(isPreceding)
    }

    /** Whether no entry is known at [now]. */
    fun isEmpty(now: Moment): Boolean = countKnown(now) == 0

    /** Records whether the registry is available. */
    fun recordAvailability(isAvailable: Boolean, now: Moment) {
        registryUnavailableSince = if (isAvailable) null else registryUnavailableSince ?: now
    }

    /**
     * Whether this process has been without the registry for so long that other processes may have stopped to count
     * it.
     */
    fun isOutdated(now: Moment): Boolean = registryUnavailableSince?.let { now - it >= OUTDATED_AFTER } ?: false

    private fun countKnown(now: Moment): Int {
        if (missingSince.values.removeIf { now - it > MISSING_TIMEOUT }) ranks.clear()
        return registered.size + missingSince.size
    }

    private companion object {
        val MISSING_TIMEOUT: Duration = 10.seconds

        /**
         * Shorter than the lease of a registration and [MISSING_TIMEOUT] together, by the time that can pass between
         * the last renewal and the detection of the outage.
         */
        val OUTDATED_AFTER: Duration = 9.seconds
    }
}
