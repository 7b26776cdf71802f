package org.lovageladder.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.runCatching
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.lovageladder.core.Envelope
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.RequestContent
import org.lovageladder.core.Step

/*
 * Frames on a connection: the length of the body as four bytes in big-endian order, then the body, an envelope in CBOR
 * with definite lengths.
 */

@OptIn(ExperimentalSerializationApi::class)
private val cbor =
    Cbor {
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

/** Encodes [envelope] as the body of a frame. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeEnvelope(envelope: Envelope): ByteArray = cbor.encodeToByteArray(Envelope.serializer(), envelope)

/** Decodes the body of a frame that [peer] sent. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeEnvelope(body: ByteArray, peer: String): Result<Envelope, Fault> =
    runCatching { cbor.decodeFromByteArray(Envelope.serializer(), body) }
        .mapError { failure -> protocolFault(peer, "body is not an envelope in CBOR: ${failure.javaClass.simpleName}") }

/**
 * Reads one frame whose body has at most [maximumBytes]. The cause of a fault is CONNECTION_LOST when the stream ends
 * between two frames or cannot be read, and PROTOCOL when a frame is invalid or truncated.
 */
internal suspend fun ByteReadChannel.readFrame(maximumBytes: Int, peer: String): Result<Envelope, Fault> {
    return try {
        if (!awaitContent()) return Err(connectionLostFault(peer, "the peer closed the connection"))
        val length = readInt()
        if (length !in 1..maximumBytes) {
            return Err(protocolFault(peer, "frame length is $length; allowed: 1 to $maximumBytes bytes"))
        }
        decodeEnvelope(readByteArray(length), peer)
    } catch (failure: java.io.EOFException) {
        Err(protocolFault(peer, "truncated frame: ${failure.message}"))
    } catch (failure: IOException) {
        Err(connectionLostFault(peer, failure))
    }
}

/** Writes [body] as one frame, without flushing. */
internal suspend fun ByteWriteChannel.writeFrame(body: ByteArray) {
    writeInt(body.size)
    writeFully(body)
}

/** Estimates the memory that [envelope] takes in a queue, in bytes; exact sizes are known only after encoding. */
internal fun estimateQueuedBytes(envelope: Envelope): Long =
    MESSAGE_OVERHEAD_BYTES + estimateBodyBytes(envelope.message)

private fun estimateBodyBytes(message: PeerMessage): Int = when (message) {
    is PeerMessage.StartPrefill -> estimateContentBytes(message.content)
    is PeerMessage.StartDecode -> estimateContentBytes(message.content)
    is PeerMessage.StartPlain -> estimateContentBytes(message.content)
    is PeerMessage.PlainFinished -> message.answer.body.length
    is PeerMessage.ClaimStatus -> message.answer?.body?.length ?: 0
    is PeerMessage.Notes -> message.notes.size * ESTIMATED_NOTE_BYTES
    else -> 0
}

private fun estimateContentBytes(content: RequestContent): Int = when (content) {
    is RequestContent.Generation -> content.body.length
    is RequestContent.Plain -> content.body.length
}

internal fun protocolFault(peer: String, detail: String): Fault = Fault(Step.CONNECT, peer, FaultCause.PROTOCOL, detail)

internal fun connectionLostFault(peer: String, detail: String): Fault =
    Fault(Step.CONNECT, peer, FaultCause.CONNECTION_LOST, detail)

internal fun connectionLostFault(peer: String, failure: Exception): Fault =
    connectionLostFault(peer, failure.message ?: failure.javaClass.simpleName)

private const val MESSAGE_OVERHEAD_BYTES = 256L
private const val ESTIMATED_NOTE_BYTES = 4096
