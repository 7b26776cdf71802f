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
 * One connection to a peer: a bounded queue of outgoing messages that one coroutine writes, and frames that the owner
 * reads. [peer] names the other process in faults. [onEnd] is called at most once, with the fault that ended the
 * connection, and never after [close].
 */
internal class PeerLink(
    val connectionId: ConnectionId,
    val peer: String,
    private val socket: Socket,
    private val scope: CoroutineScope,
    private val settings: PeerSettings,
    private val onEnd: (PeerLink, Fault) -> Unit,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val outgoingQueue = Channel<Envelope>(settings.maximumQueuedMessages)
    private val outgoingQueueBytes = AtomicLong()
    private var isEnded = false

    /** Whether the first messages were exchanged and the handler was told of the connection. */
    var isEstablished = false
        private set

    init {
        scope.launch { writeQueuedMessages() }
    }

    /** Queues [envelope]; ends the connection when the queue is full because the peer does not read. */
    fun send(envelope: Envelope) {
        val size = estimateQueuedBytes(envelope)
        val queueBytes = outgoingQueueBytes.addAndGet(size)
        if (queueBytes > settings.maximumQueuedBytes) return endOnOverflow("$queueBytes bytes queued")
        val result = outgoingQueue.trySend(envelope)
        if (result.isFailure && !result.isClosed) endOnOverflow("${settings.maximumQueuedMessages} messages queued")
    }

    private fun endOnOverflow(detail: String) {
        end(Fault(Step.CONNECT, peer, FaultCause.TIMEOUT, "the peer does not read: $detail"))
    }

    /** Reads one frame whose body has at most [maximumBytes]. */
    suspend fun readEnvelope(maximumBytes: Int = settings.maximumFrameBytes): Result<Envelope, Fault> =
        input.readFrame(maximumBytes, peer)

    /**
     * Runs [action] unless the connection ended; a concurrent end waits until it returns. Returns whether the
     * connection is still open afterwards.
     */
    fun runIfOpen(action: () -> Unit): Boolean = synchronized(this) {
        if (!isEnded) action()
        !isEnded
    }

    /** Marks the connection as established and runs [report], unless it ended meanwhile. */
    fun establish(report: () -> Unit) {
        runIfOpen {
            isEstablished = true
            report()
        }
    }

    /** Passes messages to [onReceived] until the connection ends; an invalid frame goes to [onRejected] and ends it. */
    suspend fun receiveMessages(onReceived: (Envelope) -> Unit, onRejected: (EventKind, Fault) -> Unit) {
        var isOpen = true
        while (isOpen) {
            readEnvelope().fold(
                success = { envelope -> isOpen = runIfOpen { onReceived(envelope) } },
                failure = { fault ->
                    isOpen = false
                    if (fault.cause == FaultCause.PROTOCOL) runIfOpen { onRejected(EventKind.FRAME_REJECTED, fault) }
                    end(fault)
                },
            )
        }
    }

    /** Closes the socket at once and reports [fault], unless the connection ended before. */
    fun end(fault: Fault) {
        synchronized(this) {
            if (isEnded) return
            isEnded = true
            onEnd(this, fault)
        }
        closeImmediately()
    }

    /** Ends the connection without a report; queued messages are still sent for [PeerSettings.closeTimeout]. */
    fun close() {
        synchronized(this) {
            if (isEnded) return
            isEnded = true
        }
        outgoingQueue.close()
    }

    private fun closeImmediately() {
        outgoingQueue.cancel()
        socket.cancel()
        socket.close()
    }

    private suspend fun writeQueuedMessages() {
        try {
            for (envelope in outgoingQueue) {
                output.writeBatch(envelope)
                output.flush()
            }
            withTimeoutOrNull(settings.closeTimeout) { output.flushAndClose() }
            socket.close()
        } catch (failure: IOException) {
            end(connectionLostFault(peer, failure))
        } finally {
            cancelSocketAfterTimeout()
        }
    }

    private suspend fun ByteWriteChannel.writeBatch(first: Envelope) {
        var next: Envelope? = first
        while (next != null) {
            val body = encodeEnvelope(next)
            if (body.size > settings.maximumFrameBytes) {
                return end(protocolFault(peer, "outgoing frame of ${body.size} bytes"))
            }
            writeFrame(body)
            outgoingQueueBytes.addAndGet(-estimateQueuedBytes(next))
            next = outgoingQueue.tryReceive().getOrNull()
        }
    }

    private fun cancelSocketAfterTimeout() {
        scope.launch {
            withTimeoutOrNull(settings.closeTimeout) { socket.socketContext.join() }
            socket.cancel()
        }
    }
}
