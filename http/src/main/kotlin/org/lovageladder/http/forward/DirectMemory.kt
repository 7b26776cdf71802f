package org.lovageladder.http.forward

import com.sun.management.HotSpotDiagnosticMXBean
import java.lang.management.ManagementFactory

/**
 * Largest memory outside of the heap, in bytes. Asked of the JVM and not of Netty, whose classes log when they are
 * loaded: this is needed for the flags, by which the log is configured.
 */
internal fun maximumDirectMemory(): Long {
    val diagnostics = ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean::class.java)
    val configured = diagnostics.getVMOption("MaxDirectMemorySize").value.toLong()
    return if (configured > 0) configured else Runtime.getRuntime().maxMemory()
}
