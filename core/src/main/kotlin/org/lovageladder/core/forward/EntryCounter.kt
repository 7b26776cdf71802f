package org.lovageladder.core.forward

import org.lovageladder.core.Address
import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import org.lovageladder.core.rendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Counts and ranks the running entries, which share the limits that apply to all of them together. [self] is the name
 * of this process. An entry whose registration is missing still counts for [MISSING_TIMEOUT], since the registration
 * may only have expired during a registry outage. [expectedCount] is returned until any entry is known.
 *
 * Entries that are cut off from the registry do not see others take their place. Two margins keep both from using the
 * same share: an entry without the registry is outdated before others stop counting it, and an entry that joins is not
 * settled, and displaces no other, until those that may not see it are outdated. Confined to one thread.
 */
internal class EntryCounter(private val self: ProcessName, private val expectedCount: Int) {
    private val registered = HashSet<ProcessName>()
    private val missingSince = HashMap<ProcessName, Moment>()
    private val joinedAt = HashMap<ProcessName, Moment>()
    private val ranks = HashMap<String, Int>()
    private val messageAddresses = HashMap<ProcessName, Address>()
    private val owners = HashMap<String, ProcessName?>()
    private var ownSettledAt: Moment? = null
    private var rankedCount: Int? = null
    private var refreshedAt: Moment? = null
    private var registryUnavailableSince: Moment? = null

    /** Records whether entry [name] is registered, and where it receives messages. */
    fun recordRegistration(name: ProcessName, isRegistered: Boolean, now: Moment, messageAddress: Address? = null) {
        owners.clear()
        if (isRegistered && messageAddress != null) messageAddresses[name] = messageAddress
        if (!isRegistered || messageAddress == null) messageAddresses.remove(name)
        if (isRegistered) {
            val wasMissing = missingSince.remove(name) != null
            if (registered.add(name) && !wasMissing) addUnsettled(name, now)
        } else if (registered.remove(name)) {
            missingSince[name] = now
        }
    }

    /** Where entry [name] receives messages; null when it is not registered, or receives none. */
    fun messageAddressOf(name: ProcessName): Address? = messageAddresses[name]

    /** The registered entries that receive messages. */
    val messageRecipients: Set<ProcessName> get() = messageAddresses.keys

    /**
     * The entry that owns what belongs to [key]: the first in rendezvous order among the registered entries that
     * receive messages. Entries with different views of the registry may name different owners for some seconds. Null
     * when no entry receives messages.
     */
    fun owner(key: String): ProcessName? = owners.getOrPut(key) {
        messageAddresses.keys.minWithOrNull(
            compareBy({ rendezvousHash(key, it.text) }, { it.text }),
        )
    }

    /** Whether the registry, which is available, does not list this entry. */
    val isMissing: Boolean get() = self !in registered && registryUnavailableSince == null

    /** Marks all entries as missing before the registrations of a full read are recorded. */
    fun markAllMissing(now: Moment) {
        messageAddresses.clear()
        owners.clear()
        registered.forEach { missingSince[it] = now }
        registered.clear()
    }

    /** Records whether the registry is available. An entry that was outdated joins anew. */
    fun recordAvailability(isAvailable: Boolean, now: Moment) {
        if (isAvailable && isOutdated(now)) addUnsettled(self, now)
        registryUnavailableSince = if (isAvailable) null else registryUnavailableSince ?: now
    }

    /** Number of entries at [now], at least 1. */
    fun count(now: Moment): Int {
        refresh(now)
        val known = registered.size + missingSince.size
        return if (known == 0) expectedCount else known
    }

    /** Whether no entry is known at [now]. */
    fun isEmpty(now: Moment): Boolean {
        refresh(now)
        return registered.isEmpty() && missingSince.isEmpty()
    }

    /**
     * Number of entries that precede this one in the order in which they share what belongs to [key]. The order is the
     * same for all processes that know the same entries. Null when this process is not known.
     */
    fun rank(key: String, now: Moment): Int? {
        refresh(now)
        if (self !in registered && self !in missingSince) return null
        return ranks.getOrPut(key) { countPreceding(key) }
    }

    /** Number of entries that [rank] orders. */
    fun rankedCount(now: Moment): Int {
        refresh(now)
        return rankedCount ?: countRanked().also { rankedCount = it }
    }

    /**
     * Whether other entries count on this one as on all others: it joined long enough ago, and is not without the
     * registry for so long that they may have stopped to count it.
     */
    fun isSettled(now: Moment): Boolean {
        refresh(now)
        return self !in joinedAt && !isOutdated(now)
    }

    /**
     * Since when this entry is registered and settled; null while it is not, so that others may divide among themselves
     * what belongs to all entries.
     */
    fun settledSince(now: Moment): Moment? {
        val isKnown = self in registered || self in missingSince
        return if (isKnown && isSettled(now)) ownSettledAt else null
    }

    /** Whether this entry is without the registry for so long that others may have stopped to count it. */
    fun isOutdated(now: Moment): Boolean = registryUnavailableSince?.let { now - it >= OUTDATED_AFTER } ?: false

    private fun addUnsettled(name: ProcessName, now: Moment) {
        joinedAt[name] = now
        forgetRanks()
    }

    private fun forgetRanks() {
        ranks.clear()
        rankedCount = null
    }

    private fun countRanked() = registered.count(::isRanked) + missingSince.keys.count(::isRanked)

    private fun countPreceding(key: String): Int {
        val ownHash = rendezvousHash(key, self.text)
        val isPreceding = { other: ProcessName -> isRanked(other) && rendezvousHash(key, other.text) < ownHash }
        return registered.count(isPreceding) + missingSince.keys.count(isPreceding)
    }

    /** An entry that joins is ranked only by those that are not settled either. */
    private fun isRanked(name: ProcessName) = self in joinedAt || name !in joinedAt

    private fun refresh(now: Moment) {
        val isRecent = refreshedAt?.let { now - it < REFRESH_INTERVAL } ?: false
        if (isRecent) return
        refreshedAt = now
        val hasLostMissing = missingSince.values.removeIf { now - it > MISSING_TIMEOUT }
        joinedAt[self]?.let { ownSettledAt = it + SETTLING_TIME }
        val hasSettled = joinedAt.entries.removeIf { (name, joined) ->
            now - joined >= SETTLING_TIME || (name !in registered && name !in missingSince)
        }
        if (hasLostMissing || hasSettled) forgetRanks()
    }

    private companion object {
        val MISSING_TIMEOUT: Duration = 10.seconds
        val REFRESH_INTERVAL: Duration = 100.milliseconds

        /**
         * Shorter than the lease of a registration and [MISSING_TIMEOUT] together, by the time that can pass between
         * the last renewal and the detection of the outage.
         */
        val OUTDATED_AFTER: Duration = 9.seconds

        /** [OUTDATED_AFTER] and the time that passes until an outage is detected. */
        val SETTLING_TIME: Duration = 14.seconds
    }
}
