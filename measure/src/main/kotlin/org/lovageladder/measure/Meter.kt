package org.lovageladder.measure

import java.lang.management.ManagementFactory

private val threadBean = ManagementFactory.getThreadMXBean()
private const val GARBAGE_COLLECTION_RUNS = 4

/** CPU time of measured actions on the current thread, in nanoseconds. Garbage collection is not counted. */
internal class CpuTimeMeter {
    var nanoseconds: Long = 0
        private set

    /** Runs [action] and adds its CPU time. */
    fun <T> measure(action: () -> T): T {
        val startedAt = threadBean.currentThreadCpuTime
        return action().also { nanoseconds += threadBean.currentThreadCpuTime - startedAt }
    }
}

/** Number of messages in one direction and their bytes with frame headers. */
internal class TrafficMeter {
    var messages: Long = 0
        private set
    var bytes: Long = 0
        private set

    fun record(body: ByteArray) {
        messages++
        bytes += body.size + FRAME_HEADER_BYTES
    }
}

/** Heap in use after garbage collection, in bytes. */
internal fun usedHeapBytes(): Long {
    repeat(GARBAGE_COLLECTION_RUNS) { System.gc() }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}
