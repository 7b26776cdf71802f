package org.lovageladder.core

/**
 * Cancels the calls that an engine still runs for earlier incarnations of this process. Nothing is granted or started
 * there until [isDone].
 */
internal class OrphanCleanup(private val context: CompanionContext, private val upstream: ReleaseEntry.Upstream) {
    private val output = context.output
    private val cancelledRequests = HashSet<String>()
    private val pendingCancels = HashSet<String>()
    private var hasUnconfirmed = false
    private var isListing = false
    private var listAt: Moment? = context.now

    var isDone: Boolean = false
        private set

    fun advance() {
        val due = listAt ?: return
        if (isDone || due > context.now) return
        listAt = null
        isListing = true
        output.add(CompanionEffect.ListRunning(upstream))
    }

    fun onRunningListed(requests: List<String>?) {
        if (isDone || !isListing) return
        isListing = false
        if (requests == null) return scheduleListing()
        val ownRequests = context.attempts.openRequestNames()
        val orphans = requests.filter { it !in cancelledRequests && it !in ownRequests }
        if (orphans.isEmpty()) {
            isDone = true
            return
        }
        hasUnconfirmed = false
        for (name in orphans) {
            pendingCancels.add(name)
            output.add(CompanionEffect.CancelOrphan(upstream, name))
        }
    }

    fun onCancelEnded(requestName: String, isConfirmed: Boolean) {
        if (!pendingCancels.remove(requestName)) return
        if (isConfirmed) {
            cancelledRequests.add(requestName)
            output.record(EventKind.ORPHAN_CANCELLED, upstream = upstream.name, detail = requestName)
        } else {
            hasUnconfirmed = true
            output.record(EventKind.CANCEL_UNCONFIRMED, upstream = upstream.name, detail = requestName)
        }
        if (pendingCancels.isNotEmpty()) return
        if (hasUnconfirmed) scheduleListing() else listAt = context.now
    }

    fun nextDeadline(): Moment? = if (isDone) null else listAt

    private fun scheduleListing() {
        listAt = context.now + context.settings.cancelRetryInterval
    }
}
