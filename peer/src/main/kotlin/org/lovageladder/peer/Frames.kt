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
 * Frames on a connection: the length of the body as four bytes, most significant first, then the body, an envelope
 * in CBOR with definite lengths.
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
        .mapError { failure -> protocolFault(peer, "not an envelope in CBOR: ${failure.javaClass.simpleName}") }

/** Reads one frame of at most [limitBytes]. The cause is CONNECTION_LOST when the stream ends between two frames. */
internal suspend fun ByteReadChannel.readFrame(limitBytes: Int, peer: String): Result<Envelope, Fault> {
    return try {
        if (!awaitContent()) return Err(connectionLost(peer, "closed by the peer"))
        val length = readInt()
        if (length !in 1..limitBytes) {
            return Err(protocolFault(peer, "frame length $length, allowed are 1 to $limitBytes bytes"))
        }
        decodeEnvelope(readByteArray(length), peer)
    } catch (ended: java.io.EOFException) {
        Err(protocolFault(peer, "truncated frame: ${ended.message}"))
    } catch (broken: IOException) {
        Err(lostBy(peer, broken))
    }
}

/** Writes one frame without flushing it. */
internal suspend fun ByteWriteChannel.writeFrame(body: ByteArray) {
    writeInt(body.size)
    writeFully(body)
}

/** Approximate memory that [envelope] takes in a queue, in bytes. */
internal fun queuedBytes(envelope: Envelope): Long = BASE_MESSAGE_BYTES + bodyBytes(envelope.message)

private fun bodyBytes(message: PeerMessage): Int = when (message) {
    is PeerMessage.StartPrefill -> contentBytes(message.content)
    is PeerMessage.StartDecode -> contentBytes(message.content)
    is PeerMessage.StartPlain -> contentBytes(message.content)
    is PeerMessage.PlainFinished -> message.answer.body.length
    is PeerMessage.ClaimStatus -> message.answer?.body?.length ?: 0
    is PeerMessage.Notes -> message.notes.size * BASE_NOTE_BYTES
    else -> 0
}

private fun contentBytes(content: RequestContent): Int = when (content) {
    is RequestContent.Generation -> content.body.length
    is RequestContent.Plain -> content.body.length
}

internal fun protocolFault(peer: String, detail: String): Fault = Fault(Step.CONNECT, peer, FaultCause.PROTOCOL, detail)

internal fun connectionLost(peer: String, detail: String): Fault =
    Fault(Step.CONNECT, peer, FaultCause.CONNECTION_LOST, detail)

internal fun lostBy(peer: String, failure: Exception): Fault =
    connectionLost(peer, failure.message ?: failure.javaClass.simpleName)

private const val BASE_MESSAGE_BYTES = 256L
private const val BASE_NOTE_BYTES = 4096
