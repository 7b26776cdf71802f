package org.lovageladder.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import org.lovageladder.core.Address
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Step
import org.lovageladder.core.StoredEntry

/** Reads the stream of a watch: one JSON object a line. */
internal class EtcdWatchReceiver(
    private val address: Address,
    private val changed: (StoredEntry) -> Unit,
    private val ended: (Fault) -> Unit,
) : HttpReceiver {
    private val lines = LineReader(MAXIMUM_LINE_BYTES)
    private var broken = false

    override fun onHead(status: Int, headers: HttpHeaders) {
        if (status != STATUS_OK) end(FaultCause.REJECTED, "status $status")
    }

    override fun onContent(bytes: ByteBuf) {
        try {
            lines.read(bytes) { if (!broken && it.isNotBlank()) take(it) }
        } catch (malformed: IllegalArgumentException) {
            end(FaultCause.PROTOCOL, malformed.message.orEmpty())
        }
    }

    override fun onEnd(): Unit = end(FaultCause.CONNECTION_LOST, "the watch ended")

    override fun onFailure(failure: HttpFailure): Unit = end(failure.cause, failure.detail)

    private fun take(line: String) {
        val message = etcdJson.decodeFromString<EtcdWatchMessage>(line)
        val result = message.result
        if (result == null || result.canceled) {
            val reason = result?.cancelReason ?: message.error?.text
            end(FaultCause.REJECTED, "the watch was cancelled: $reason")
            return
        }
        result.events.filter { it.type == EtcdWatchEvent.PUT }.forEach { changed(it.kv.toStoredEntry()) }
    }

    private fun end(cause: FaultCause, detail: String) {
        if (broken) return
        broken = true
        ended(Fault(Step.STORE, address.toString(), cause, detail))
    }

    private companion object {
        const val MAXIMUM_LINE_BYTES = 4 * 1024 * 1024
    }
}
