package org.lovageladder.daemon

import com.github.ajalt.clikt.core.UsageError
import org.lovageladder.core.Address
import java.io.IOException

/** A started process of either role. */
internal interface RunningProcess : AutoCloseable {
    /** Where callers or entries connect. */
    val traffic: Address

    /** Where operators and probes connect. */
    val admin: Address

    /** Stops taking new work; the process ends once what is in flight is finished. */
    fun requestStop()

    /** Waits until the process has ended. */
    fun awaitEnd(): ProcessEnd

    /** Closes all connections, sending first what was written to them. */
    override fun close()
}

/** How a process ended, with its exit status. */
internal enum class ProcessEnd(val status: Int) {
    /** All work was finished after a stop was requested. */
    FINISHED(0),

    /** The control thread broke off. */
    FAILED(1),

    /** Work was still in flight at the drain timeout. */
    DRAIN_TIMEOUT(3),
}

/** The [address] given by [flag] cannot be listened on. */
internal class AddressUnavailable(flag: String, address: Address, cause: IOException) :
    UsageError("$flag $address cannot be bound (${cause.message}), allowed is a free address of this host") {
    init {
        addSuppressed(cause)
    }
}

/** Runs [start], which listens on [address]; throws [AddressUnavailable] when that fails. */
internal fun <Server> listenOn(flag: String, address: Address, start: () -> Server): Server = try {
    start()
} catch (failure: IOException) {
    throw AddressUnavailable(flag, address, failure)
}
