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

/** Length of the header of a frame, in bytes. */
internal const val FRAME_HEADER_BYTES: Int = 4

/** Encodes [message] as the body of a frame, as on connections between entries and companions. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrameBody(message: PeerMessage): ByteArray =
    cbor.encodeToByteArray(Envelope.serializer(), Envelope(RELEASE_VERSION, SAMPLE_TIME, message))

/** Decodes the body of a frame. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeFrameBody(body: ByteArray): Envelope = cbor.decodeFromByteArray(Envelope.serializer(), body)

/** Version of the only release note in a measurement. */
internal val RELEASE_VERSION = ReleaseVersion(1)

/** A time stamp whose encoding is as long as that of current times. */
private val SAMPLE_TIME = HybridTime(milliseconds = 1_700_000_000_000, counter = 3)
