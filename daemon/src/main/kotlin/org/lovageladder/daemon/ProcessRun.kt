package org.lovageladder.daemon

import kotlin.system.exitProcess

/**
 * Runs the process that [start] starts until it ends, then exits with the status of its end. Prints one line on
 * standard output once the process accepts connections: the [role], then the address of its [traffic]. A stop signal
 * drains the process.
 */
internal fun runUntilEnd(role: String, traffic: String, start: () -> RunningProcess) {
    val process = start()
    Runtime.getRuntime().addShutdownHook(Thread({ drainAndHalt(process) }, "stop"))
    println("listening $role $traffic=${process.traffic} admin=${process.admin} pid=${ProcessHandle.current().pid()}")
    val end = process.awaitEnd()
    exitProcess(end.status)
}

/** Lets the process finish and ends it with the status of its end, also when a signal began its shutdown. */
private fun drainAndHalt(process: RunningProcess) {
    process.requestStop()
    val end = process.awaitEnd()
    process.close()
    closeLog()
    Runtime.getRuntime().halt(end.status)
}
