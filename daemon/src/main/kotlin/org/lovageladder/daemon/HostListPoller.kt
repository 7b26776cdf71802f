package org.lovageladder.daemon

import org.lovageladder.core.HostList
import org.lovageladder.core.ListedHost
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Reads [hostList] again [interval] after each answer, and passes each successful read to [onHosts]. */
internal class HostListPoller(
    private val hostList: HostList,
    private val interval: Duration,
    private val timer: ScheduledExecutorService,
    private val onHosts: (List<ListedHost>) -> Unit,
) {
    /** Starts reading, until [timer] is shut down. */
    fun start() {
        timer.execute(::read)
    }

    private fun read() {
        hostList.read(interval) { hosts ->
            hosts?.let(onHosts)
            scheduleRead()
        }
    }

    private fun scheduleRead() {
        try {
            timer.schedule(::read, interval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            return
        }
    }
}
