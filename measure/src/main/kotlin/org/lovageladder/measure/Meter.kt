package org.lovageladder.measure

import java.lang.management.ManagementFactory

private val threads = ManagementFactory.getThreadMXBean()
private const val COLLECTIONS = 4

/** Processor time that parts of a run on this thread took, in nanoseconds. Garbage collection is not counted. */
internal class ProcessorMeter {
    var nanoseconds: Long = 0
        private set

    /** Runs [part] and adds its processor time. */
    fun <T> measure(part: () -> T): T {
        val before = threads.currentThreadCpuTime
        return part().also { nanoseconds += threads.currentThreadCpuTime - before }
    }
}

/** Messages and their bytes in one direction. */
internal class TrafficMeter {
    var messages: Long = 0
        private set
    var bytes: Long = 0
        private set

    fun count(body: ByteArray) {
        messages++
        bytes += body.size + FRAME_HEADER_BYTES
    }
}

/** Heap in use after a collection, in bytes. */
internal fun usedHeapBytes(): Long {
    repeat(COLLECTIONS) { System.gc() }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}
