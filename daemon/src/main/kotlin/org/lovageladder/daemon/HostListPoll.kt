package org.lovageladder.daemon

import org.lovageladder.core.HostList
import org.lovageladder.core.ListedHost
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Reads [list] again [interval] after each answer, and passes on what it could read. */
internal class HostListPoll(
    private val list: HostList,
    private val interval: Duration,
    private val timer: ScheduledExecutorService,
    private val listed: (List<ListedHost>) -> Unit,
) {
    /** Starts reading; ends when the timer is shut down. */
    fun start() {
        timer.execute(::read)
    }

    private fun read() {
        list.read(interval) { hosts ->
            hosts?.let(listed)
            readLater()
        }
    }

    private fun readLater() {
        try {
            timer.schedule(::read, interval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            return
        }
    }
}
