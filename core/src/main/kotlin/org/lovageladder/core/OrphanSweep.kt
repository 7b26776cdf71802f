package org.lovageladder.core

/**
 * Cancels what an engine still runs for an earlier incarnation of this process. Until [isDone] nothing is granted
 * or started there.
 */
internal class OrphanSweep(private val context: CompanionContext, private val upstream: ReleaseEntry.Upstream) {
    private val output = context.output
    private val confirmed = HashSet<String>()
    private val unanswered = HashSet<String>()
    private var hasFailed = false
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

    fun listed(requests: List<String>?) {
        if (isDone || !isListing) return
        isListing = false
        if (requests == null) return listLater()
        val own = context.attempts.openNames()
        val orphans = requests.filter { it !in confirmed && it !in own }
        if (orphans.isEmpty()) {
            isDone = true
            return
        }
        hasFailed = false
        for (name in orphans) {
            unanswered.add(name)
            output.add(CompanionEffect.CancelOrphan(upstream, name))
        }
    }

    fun orphanEnded(requestName: String, isConfirmed: Boolean) {
        if (!unanswered.remove(requestName)) return
        if (isConfirmed) {
            confirmed.add(requestName)
            output.record(EventKind.ORPHAN_CANCELLED, upstream = upstream.name, detail = requestName)
        } else {
            hasFailed = true
            output.record(EventKind.CANCEL_UNCONFIRMED, upstream = upstream.name, detail = requestName)
        }
        if (unanswered.isNotEmpty()) return
        if (hasFailed) listLater() else listAt = context.now
    }

    fun nextDeadline(): Moment? = if (isDone) null else listAt

    private fun listLater() {
        listAt = context.now + context.settings.cancelRetryInterval
    }
}
