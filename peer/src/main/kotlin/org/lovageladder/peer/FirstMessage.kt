package org.lovageladder.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.withTimeoutOrNull
import org.lovageladder.core.Envelope
import org.lovageladder.core.EventKind
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.HostName
import org.lovageladder.core.Incarnation
import org.lovageladder.core.PEER_PROTOCOL
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.Step

/*
 * Checks of the first message in each direction of a connection: a hello from the entry, a welcome from the companion.
 */

/** A first message that passed its checks, with its envelope. */
internal data class FirstMessage<T : PeerMessage>(val envelope: Envelope, val message: T)

/** Why a connection was not established. [eventKind] is the event to record, null if the connection was only lost. */
internal data class Rejection(val eventKind: EventKind?, val fault: Fault)

/** Reads the first frame within the size and time limits of [settings]. */
internal suspend fun PeerLink.readFirstMessage(settings: PeerSettings): Result<Envelope, Rejection> {
    val frame =
        withTimeoutOrNull(settings.firstFrameTimeout) { readEnvelope(settings.maximumFirstFrameBytes) }
            ?: return Err(firstFrameTimeoutRejection(peer, settings))
    return frame.mapError { fault ->
        Rejection(EventKind.FRAME_REJECTED.takeIf { fault.cause == FaultCause.PROTOCOL }, fault)
    }
}

private fun firstFrameTimeoutRejection(peer: String, settings: PeerSettings): Rejection {
    val detail = "no first message within ${settings.firstFrameTimeout}"
    return Rejection(EventKind.FRAME_REJECTED, Fault(Step.CONNECT, peer, FaultCause.TIMEOUT, detail))
}

/** Checks the hello of an entry against the [host] and [incarnation] of this companion. */
internal data class ExpectedHello(val host: HostName, val incarnation: Incarnation) {
    fun check(envelope: Envelope, peer: String): Result<FirstMessage<PeerMessage.Hello>, Rejection> {
        val hello = envelope.message as? PeerMessage.Hello ?: return Err(unexpectedMessage(envelope, peer, "Hello"))
        val expectedIncarnation = hello.expectedIncarnation
        return when {
            hello.protocol != PEER_PROTOCOL -> Err(
                peerRefusal(peer, "protocol ${hello.protocol}, expected $PEER_PROTOCOL"),
            )
            hello.expectedHost != host ->
                Err(peerRefusal(peer, "addressed to host ${hello.expectedHost}, this is $host"))
            expectedIncarnation != null && expectedIncarnation != incarnation ->
                Err(peerRefusal(peer, "addressed to incarnation $expectedIncarnation, this is $incarnation"))
            else -> Ok(FirstMessage(envelope, hello))
        }
    }
}

/** Checks that [envelope] is a welcome with this protocol version, sent by the companion of [host]. */
internal fun checkWelcome(
    envelope: Envelope,
    host: HostName,
    peer: String,
): Result<FirstMessage<PeerMessage.Welcome>, Rejection> {
    val welcome = envelope.message as? PeerMessage.Welcome ?: return Err(unexpectedMessage(envelope, peer, "Welcome"))
    return when {
        welcome.protocol != PEER_PROTOCOL ->
            Err(peerRefusal(peer, "protocol ${welcome.protocol}, expected $PEER_PROTOCOL"))
        welcome.host != host -> Err(peerRefusal(peer, "answered by host ${welcome.host}, expected $host"))
        else -> Ok(FirstMessage(envelope, welcome))
    }
}

private fun unexpectedMessage(envelope: Envelope, peer: String, expected: String): Rejection {
    val messageType = envelope.message.javaClass.simpleName
    return Rejection(EventKind.FRAME_REJECTED, protocolFault(peer, "first message is $messageType, expected $expected"))
}

private fun peerRefusal(peer: String, detail: String): Rejection =
    Rejection(EventKind.PEER_REFUSED, Fault(Step.CONNECT, peer, FaultCause.REJECTED, detail))

internal fun connectionReplacedFault(peer: String): Fault =
    connectionLostFault(peer, "replaced by a newer connection of the same process")
