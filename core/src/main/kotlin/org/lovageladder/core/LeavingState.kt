package org.lovageladder.core

/**
 * Whether this companion's host is leaving. Leaving is final: a host that returns starts a new incarnation.
 * [requestStop], [onHostsListed] and [onRelease] return whether the host begins to leave.
 */
internal class LeavingState(private val context: CompanionContext) {
    private var wasInRelease = false
    private var isStopping = false
    private var hasExited = false

    var isLeaving: Boolean = false
        private set

    fun requestStop(): Boolean {
        isStopping = true
        return beginLeaving()
    }

    fun onHostsListed(hosts: List<ListedHost>): Boolean =
        hosts.any { it.name == context.settings.host && it.leaving } && beginLeaving()

    fun onRelease(state: ReleaseState): Boolean {
        val isInRelease = context.settings.host in state.hosts
        val isWithdrawn = wasInRelease && !isInRelease
        wasInRelease = isInRelease
        return isWithdrawn && beginLeaving()
    }

    /** Adds [CompanionEffect.Exit] once, when a stop was requested and nothing is left to do. */
    fun exitIfDone(isDone: Boolean) {
        if (!isStopping || !isDone || hasExited) return
        hasExited = true
        context.output.record(EventKind.PROCESS_STOPPED, host = context.settings.host)
        context.output.add(CompanionEffect.Exit)
    }

    private fun beginLeaving(): Boolean {
        if (isLeaving) return false
        isLeaving = true
        context.output.record(EventKind.HOST_LEAVING, host = context.settings.host)
        return true
    }
}
