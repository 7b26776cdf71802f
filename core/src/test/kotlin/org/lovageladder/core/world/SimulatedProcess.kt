package org.lovageladder.core.world

import org.lovageladder.core.HybridTime
import org.lovageladder.core.Moment
import org.lovageladder.core.ReleaseVersion

/** A process that runs its decisions and can be killed, restarted, frozen and unfrozen. */
internal abstract class SimulatedProcess<E>(protected val system: SimulatedSystem) {
    private val queuedEvents = ArrayDeque<E>()
    private var isFrozen = false
    private var scheduledAt: Moment? = null
    private var highestRelease = ReleaseVersion.NONE

    var incarnation = 0L
        private set
    var isRunning = false
        private set

    protected abstract val timePassedEvent: E

    protected abstract fun createDecisions(incarnation: Long)

    protected abstract fun closeConnections(deliverPending: Boolean)

    protected abstract fun handle(event: E)

    protected abstract fun deadline(): Moment?

    protected abstract val release: ReleaseVersion

    fun start() {
        if (isRunning) return
        incarnation++
        isRunning = true
        isFrozen = false
        queuedEvents.clear()
        scheduledAt = null
        highestRelease = ReleaseVersion.NONE
        createDecisions(incarnation)
        deliver(timePassedEvent)
    }

    fun kill() = stop(deliverPending = false)

    private fun stop(deliverPending: Boolean) {
        if (!isRunning) return
        isRunning = false
        closeConnections(deliverPending)
    }

    fun freeze() {
        isFrozen = true
    }

    fun unfreeze() {
        if (!isFrozen) return
        isFrozen = false
        if (!isRunning) return
        queuedEvents.addFirst(timePassedEvent)
        while (queuedEvents.isNotEmpty() && isRunning) handleAndReschedule(queuedEvents.removeFirst())
    }

    fun unfreezeAndStart() {
        unfreeze()
        start()
    }

    fun deliver(event: E) {
        if (!isRunning) return
        if (isFrozen) queuedEvents += event else handleAndReschedule(event)
    }

    protected fun exit() = stop(deliverPending = true)

    fun clock() = HybridTime(system.time.now.microseconds / MICROSECONDS_PER_MILLISECOND, 0)

    fun checkRelease(oracle: Oracle, published: Long) {
        if (release.number != published) oracle.addViolation("$this has release $release, published is $published")
    }

    private fun handleAndReschedule(event: E) {
        handle(event)
        if (!isRunning) return
        if (release < highestRelease) system.oracle.addViolation("$this went back from $highestRelease to $release")
        highestRelease = release
        scheduleNext()
    }

    private fun scheduleNext() {
        val next = deadline() ?: return
        val previous = scheduledAt
        if (previous != null && previous <= next && previous > system.time.now) return
        scheduledAt = next
        val startedIncarnation = incarnation
        system.time.at(next) { if (startedIncarnation == incarnation && scheduledAt == next) deliver(timePassedEvent) }
    }

    private companion object {
        const val MICROSECONDS_PER_MILLISECOND = 1000
    }
}
