package org.lovageladder.daemon

import com.github.ajalt.clikt.core.UsageError
import org.lovageladder.core.Address
import java.io.IOException

/** A started process of any role. */
internal interface RunningProcess : AutoCloseable {
    /** Address where callers or entries connect. */
    val traffic: Address

    /** Address where operators and probes connect. */
    val admin: Address

    /** Stops accepting requests; the process ends once the requests in flight are finished. */
    fun requestStop()

    /** Waits until the process has ended. */
    fun awaitEnd(): ProcessEnd

    /** Closes all connections after sending what was written to them. */
    override fun close()
}

/** How a process ended, with its exit [exitStatus]. */
internal enum class ProcessEnd(val exitStatus: Int) {
    /** All requests in flight were finished after a stop request. */
    FINISHED(0),

    /** The control thread failed. */
    FAILED(1),

    /** Requests were still in flight at the drain timeout. */
    DRAIN_TIMEOUT(3),
}

/** The [address] given by [flag] cannot be bound. */
internal class AddressUnavailable(flag: String, address: Address, cause: IOException) :
    UsageError("$flag $address cannot be bound (${cause.message}), allowed is a free address of this host") {
    init {
        addSuppressed(cause)
    }
}

/** Runs [startListening], which binds [address]; throws [AddressUnavailable] when that fails. */
internal fun <Server> listenOn(flag: String, address: Address, startListening: () -> Server): Server = try {
    startListening()
} catch (failure: IOException) {
    throw AddressUnavailable(flag, address, failure)
}
