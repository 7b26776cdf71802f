package org.lovageladder.daemon

import kotlin.system.exitProcess

/**
 * Runs the process that [start] returns until it ends, then exits with its status. Once the process accepts
 * connections, prints one line to standard output with the [role], the traffic address after [trafficLabel], the admin
 * address and the process id. A stop signal drains the process.
 */
internal fun runUntilEnd(role: String, trafficLabel: String, start: () -> RunningProcess) {
    val process = start()
    Runtime.getRuntime().addShutdownHook(Thread({ drainAndHalt(process) }, "stop"))
    println(
        "listening $role $trafficLabel=${process.traffic} admin=${process.admin} pid=${ProcessHandle.current().pid()}",
    )
    val end = process.awaitEnd()
    exitProcess(end.exitStatus)
}

/** Drains the process and halts the JVM with its exit status, which a shutdown by a signal would replace. */
private fun drainAndHalt(process: RunningProcess) {
    process.requestStop()
    val end = process.awaitEnd()
    process.close()
    closeLog()
    Runtime.getRuntime().halt(end.exitStatus)
}
