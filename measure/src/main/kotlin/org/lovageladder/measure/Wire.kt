package org.lovageladder.measure

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.lovageladder.core.Envelope
import org.lovageladder.core.HybridTime
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.ReleaseVersion

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor {
    useDefiniteLengthEncoding = true
    ignoreUnknownKeys = true
}

/** Length of a frame before its body, in bytes. */
internal const val FRAME_HEADER_BYTES: Int = 4

/** Body of the frame that carries [message], in the encoding that connections between entries and companions use. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encode(message: PeerMessage): ByteArray =
    cbor.encodeToByteArray(Envelope.serializer(), Envelope(FIRST_VERSION, WALL_TIME, message))

/** Reads the body of a frame. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decode(body: ByteArray): Envelope = cbor.decodeFromByteArray(Envelope.serializer(), body)

/** Version of the only note of a measured system. */
internal val FIRST_VERSION = ReleaseVersion(1)

/** A time stamp as long as present ones. */
private val WALL_TIME = HybridTime(milliseconds = 1_700_000_000_000, counter = 3)
