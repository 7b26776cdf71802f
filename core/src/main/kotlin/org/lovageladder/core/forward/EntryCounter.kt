package org.lovageladder.core.forward

import org.lovageladder.core.Moment
import org.lovageladder.core.ProcessName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts the running entries, which share the limits that apply to all of them together. An entry whose registration is
 * missing still counts for [MISSING_TIMEOUT], since the registration may only have expired during a registry outage.
 * [expectedCount] is returned until any entry is known. Confined to one thread.
 */
internal class EntryCounter(private val expectedCount: Int) {
    private val registered = HashSet<ProcessName>()
    private val missingSince = HashMap<ProcessName, Moment>()

    /** Records whether entry [name] is registered. */
    fun recordRegistration(name: ProcessName, isRegistered: Boolean, now: Moment) {
        if (isRegistered) {
            registered += name
            missingSince -= name
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
        missingSince.values.removeIf { now - it > MISSING_TIMEOUT }
        val known = registered.size + missingSince.size
        return if (known == 0) expectedCount else known
    }

    private companion object {
        val MISSING_TIMEOUT: Duration = 10.seconds
    }
}
