package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.Address
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Step
import org.lovageladder.core.StoredEntry

/** Reads the stream of a watch: one JSON object per line. Calls [onFault] once, when the watch ends. */
internal class EtcdWatchReceiver(
    private val address: Address,
    private val onEntry: (StoredEntry) -> Unit,
    private val onFault: (Fault) -> Unit,
) : HttpReceiver {
    private val lines = LineReader(MAXIMUM_LINE_BYTES)
    private var isEnded = false

    override fun onHead(status: Int, headers: HttpHeaders) {
        if (status != STATUS_OK) reportEnd(FaultCause.REJECTED, "status $status")
    }

    override fun onContent(bytes: ByteBuf) {
        try {
            lines.read(bytes) { if (!isEnded && it.isNotBlank()) processLine(it) }
        } catch (malformed: IllegalArgumentException) {
            reportEnd(FaultCause.PROTOCOL, malformed.message.orEmpty())
        }
    }

    override fun onEnd(): Unit = reportEnd(FaultCause.CONNECTION_LOST, "the watch ended")

    override fun onFailure(failure: HttpFailure): Unit = reportEnd(failure.cause, failure.detail)

    private fun processLine(line: String) {
        val message = etcdJson.decodeFromString<EtcdWatchMessage>(line)
        val result = message.result
        if (result == null || result.canceled) {
            val reason = result?.cancelReason ?: message.error?.text
            reportEnd(FaultCause.REJECTED, "the watch was cancelled: $reason")
            return
        }
        result.events.filter { it.type == EtcdWatchEvent.PUT }.forEach { onEntry(it.kv.toStoredEntry()) }
    }

    private fun reportEnd(cause: FaultCause, detail: String) {
        if (isEnded) return
        isEnded = true
        onFault(Fault(Step.STORE, address.toString(), cause, detail))
    }

    private companion object {
        const val MAXIMUM_LINE_BYTES = 4 * 1024 * 1024
    }
}
