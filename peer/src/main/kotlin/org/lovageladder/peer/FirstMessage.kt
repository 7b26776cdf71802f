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
 * Checks of the first message on a connection, which binds it to both processes.
 */

/** A checked first message with its envelope. */
internal data class FirstMessage<T : PeerMessage>(val envelope: Envelope, val message: T)

/** Why a connection was not established; [kind] is null when the peer just closed it. */
internal data class Rejection(val kind: EventKind?, val fault: Fault)

/** Reads the first frame within the bounds of [settings]. */
internal suspend fun PeerLink.readFirst(settings: PeerSettings): Result<Envelope, Rejection> {
    val frame =
        withTimeoutOrNull(settings.firstFrameTimeout) { read(settings.firstFrameLimitBytes) }
            ?: return Err(lateFirstFrame(peer, settings))
    return frame.mapError { fault ->
        Rejection(EventKind.FRAME_REJECTED.takeIf { fault.cause == FaultCause.PROTOCOL }, fault)
    }
}

private fun lateFirstFrame(peer: String, settings: PeerSettings): Rejection {
    val detail = "no first message within ${settings.firstFrameTimeout}"
    return Rejection(EventKind.FRAME_REJECTED, Fault(Step.CONNECT, peer, FaultCause.TIMEOUT, detail))
}

/** What a companion accepts as the first message of an entry. */
internal data class ExpectedHello(val host: HostName, val incarnation: Incarnation) {
    fun check(envelope: Envelope, peer: String): Result<FirstMessage<PeerMessage.Hello>, Rejection> {
        val hello = envelope.message as? PeerMessage.Hello ?: return Err(wrongFirst(envelope, peer, "Hello"))
        val expectedIncarnation = hello.expectedIncarnation
        return when {
            hello.protocol != PEER_PROTOCOL -> Err(
                refusal(peer, "protocol ${hello.protocol}, spoken is $PEER_PROTOCOL"),
            )
            hello.expectedHost != host -> Err(refusal(peer, "addressed to host ${hello.expectedHost}, this is $host"))
            expectedIncarnation != null && expectedIncarnation != incarnation ->
                Err(refusal(peer, "addressed to incarnation $expectedIncarnation, this is $incarnation"))
            else -> Ok(FirstMessage(envelope, hello))
        }
    }
}

/** Checks that [envelope] is the welcome of the companion of [host]. */
internal fun checkWelcome(
    envelope: Envelope,
    host: HostName,
    peer: String,
): Result<FirstMessage<PeerMessage.Welcome>, Rejection> {
    val welcome = envelope.message as? PeerMessage.Welcome ?: return Err(wrongFirst(envelope, peer, "Welcome"))
    return when {
        welcome.protocol != PEER_PROTOCOL ->
            Err(refusal(peer, "protocol ${welcome.protocol}, spoken is $PEER_PROTOCOL"))
        welcome.host != host -> Err(refusal(peer, "answered by host ${welcome.host}, expected is $host"))
        else -> Ok(FirstMessage(envelope, welcome))
    }
}

private fun wrongFirst(envelope: Envelope, peer: String, expected: String): Rejection {
    val found = envelope.message.javaClass.simpleName
    return Rejection(EventKind.FRAME_REJECTED, protocolFault(peer, "first message is $found, expected is $expected"))
}

private fun refusal(peer: String, detail: String): Rejection =
    Rejection(EventKind.PEER_REFUSED, Fault(Step.CONNECT, peer, FaultCause.REJECTED, detail))

internal fun replacedFault(peer: String): Fault = connectionLost(peer, "replaced by a newer connection of the process")
