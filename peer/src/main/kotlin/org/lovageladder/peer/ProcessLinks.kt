package org.lovageladder.peer

import org.lovageladder.core.ProcessName

/** The current connection of each process: the one that was accepted last. Safe for use by several threads. */
internal class ProcessLinks {
    private val links = HashMap<ProcessName, PeerLink>()

    /**
     * Registers [link] for [process] and returns the link to end: the one that it replaces, or [link] itself when a
     * newer one is registered already. Null when there was none.
     */
    @Synchronized
    fun register(process: ProcessName, link: PeerLink): PeerLink? {
        val registered = links[process]
        if (registered != null && registered.connectionId.number > link.connectionId.number) return link
        links[process] = link
        return registered
    }

    /** Removes [link] if it is registered. */
    @Synchronized
    fun remove(link: PeerLink) {
        links.values.remove(link)
    }
}
