package org.lovageladder.core.world

import org.lovageladder.core.HybridTime
import org.lovageladder.core.Moment
import org.lovageladder.core.ReleaseVersion

/** A process around its decisions: it is killed, restarted, frozen and woken on demand. */
internal abstract class Process<E>(protected val world: World) {
    private val waiting = ArrayDeque<E>()
    private var frozen = false
    private var wakeAt: Moment? = null
    private var highestRelease = ReleaseVersion.NONE

    var incarnation = 0L
        private set
    var alive = false
        private set

    protected abstract val timePassed: E

    protected abstract fun start(incarnation: Long)

    protected abstract fun closeConnections(orderly: Boolean)

    protected abstract fun handle(event: E)

    protected abstract fun deadline(): Moment?

    protected abstract val release: ReleaseVersion

    fun boot() {
        if (alive) return
        incarnation++
        alive = true
        frozen = false
        waiting.clear()
        wakeAt = null
        highestRelease = ReleaseVersion.NONE
        start(incarnation)
        deliver(timePassed)
    }

    fun kill() = end(orderly = false)

    private fun end(orderly: Boolean) {
        if (!alive) return
        alive = false
        closeConnections(orderly)
    }

    fun freeze() {
        frozen = true
    }

    fun wake() {
        if (!frozen) return
        frozen = false
        if (!alive) return
        waiting.addFirst(timePassed)
        while (waiting.isNotEmpty() && alive) take(waiting.removeFirst())
    }

    fun recover() {
        wake()
        boot()
    }

    fun deliver(event: E) {
        if (!alive) return
        if (frozen) waiting += event else take(event)
    }

    protected fun exit() = end(orderly = true)

    fun clock() = HybridTime(world.time.now.microseconds / MICROSECONDS_PER_MILLISECOND, 0)

    fun checkRelease(oracle: Oracle, published: Long) {
        if (release.number != published) oracle.violation("$this has release $release of $published")
    }

    private fun take(event: E) {
        handle(event)
        if (!alive) return
        if (release < highestRelease) world.oracle.violation("$this went back to release $release")
        highestRelease = release
        schedule()
    }

    private fun schedule() {
        val next = deadline() ?: return
        val planned = wakeAt
        if (planned != null && planned <= next && planned > world.time.now) return
        wakeAt = next
        val current = incarnation
        world.time.at(next) { if (current == incarnation && wakeAt == next) deliver(timePassed) }
    }

    private companion object {
        const val MICROSECONDS_PER_MILLISECOND = 1000
    }
}
