package org.lovageladder.peer

import org.lovageladder.core.ProcessName

/** Keeps at most one connection of each process: the one that was accepted last. */
internal class ProcessRegistry {
    private val links = HashMap<ProcessName, PeerLink>()

    /** Enters [link] for [process] and returns the link that has to end: an older one, or [link] when it is older. */
    @Synchronized
    fun claim(process: ProcessName, link: PeerLink): PeerLink? {
        val present = links[process]
        if (present != null && present.connection.number > link.connection.number) return link
        links[process] = link
        return present
    }

    /** Forgets [link]. */
    @Synchronized
    fun remove(link: PeerLink) {
        links.values.remove(link)
    }
}
