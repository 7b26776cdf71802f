package org.lovageladder.peer

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.lovageladder.core.ConnectionId
import org.lovageladder.core.Envelope
import org.lovageladder.core.EventKind
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.Step
import java.util.concurrent.atomic.AtomicLong

/**
 * One connection: a bounded queue of outgoing messages that one coroutine writes, and frames read by its user.
 * [onEnd] is called at most once, with the fault that ended it, and never after [close].
 */
internal class PeerLink(
    val connection: ConnectionId,
    val peer: String,
    private val socket: Socket,
    private val scope: CoroutineScope,
    private val settings: PeerSettings,
    private val onEnd: (PeerLink, Fault) -> Unit,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val outgoing = Channel<Envelope>(settings.outgoingLimit)
    private val outgoingBytes = AtomicLong()
    private var ended = false

    /** Whether the first messages were exchanged and the process was told of the connection. */
    var established = false
        private set

    init {
        scope.launch { writeAll() }
    }

    /** Queues [envelope]; ends the connection when the peer does not read what was queued before. */
    fun send(envelope: Envelope) {
        val size = queuedBytes(envelope)
        val queued = outgoingBytes.addAndGet(size)
        if (queued > settings.outgoingLimitBytes) return overflow("$queued bytes queued")
        val result = outgoing.trySend(envelope)
        if (result.isFailure && !result.isClosed) overflow("${settings.outgoingLimit} messages queued")
    }

    private fun overflow(detail: String) {
        end(Fault(Step.CONNECT, peer, FaultCause.TIMEOUT, "the peer does not read: $detail"))
    }

    /** Reads one frame of at most [limitBytes]. */
    suspend fun read(limitBytes: Int = settings.frameLimitBytes): Result<Envelope, Fault> =
        input.readFrame(limitBytes, peer)

    /** Runs [report] unless the connection ended, excluding a concurrent end. Returns whether it ran. */
    fun whileOpen(report: () -> Unit): Boolean = synchronized(this) {
        if (!ended) report()
        !ended
    }

    /** Reports the connection as established, unless it ended meanwhile. */
    fun establish(report: () -> Unit) {
        whileOpen {
            established = true
            report()
        }
    }

    /** Passes on all messages until the connection ends. */
    suspend fun receiveAll(received: (Envelope) -> Unit, rejected: (EventKind, Fault) -> Unit) {
        var open = true
        while (open) {
            read().fold(
                success = { envelope -> open = whileOpen { received(envelope) } },
                failure = { fault ->
                    open = false
                    if (fault.cause == FaultCause.PROTOCOL) whileOpen { rejected(EventKind.FRAME_REJECTED, fault) }
                    end(fault)
                },
            )
        }
    }

    /** Ends the connection at once and reports [fault], unless it ended before. */
    fun end(fault: Fault) {
        synchronized(this) {
            if (ended) return
            ended = true
            onEnd(this, fault)
        }
        abort()
    }

    /** Ends the connection without a report; what is queued is still sent for [PeerSettings.closeTimeout]. */
    fun close() {
        synchronized(this) {
            if (ended) return
            ended = true
        }
        outgoing.close()
    }

    private fun abort() {
        outgoing.cancel()
        socket.cancel()
        socket.close()
    }

    private suspend fun writeAll() {
        try {
            for (envelope in outgoing) {
                output.writeQueued(envelope)
                output.flush()
            }
            withTimeoutOrNull(settings.closeTimeout) { output.flushAndClose() }
            socket.close()
        } catch (failure: IOException) {
            end(lostBy(peer, failure))
        } finally {
            finishClosing()
        }
    }

    private suspend fun ByteWriteChannel.writeQueued(first: Envelope) {
        var next: Envelope? = first
        while (next != null) {
            val body = encodeEnvelope(next)
            if (body.size > settings.frameLimitBytes) return end(protocolFault(peer, "outgoing frame of ${body.size}"))
            writeFrame(body)
            outgoingBytes.addAndGet(-queuedBytes(next))
            next = outgoing.tryReceive().getOrNull()
        }
    }

    private fun finishClosing() {
        scope.launch {
            withTimeoutOrNull(settings.closeTimeout) { socket.socketContext.join() }
            socket.cancel()
        }
    }
}
