package org.lovageladder.http.forward

import com.github.michaelbull.result.get
import com.github.michaelbull.result.runCatching
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.lovageladder.core.ProcessName

/**
 * A datagram of the process [sender], which chose the number [start] when it started. Each of [messages] is encoded by
 * itself, so that one that this version does not know leaves the others readable.
 */
@Serializable
internal class EntryDatagram(
    @SerialName("n") val sender: ProcessName,
    @SerialName("s") val start: Long,
    @SerialName("m") val messages: List<ByteArray>,
)

/** Encodes the messages of [serializer] in CBOR, and puts those of [sender] into datagrams. */
@OptIn(ExperimentalSerializationApi::class)
internal class EntryDatagramCodec<Message : Any>(
    private val sender: ProcessName,
    private val start: Long,
    private val serializer: KSerializer<Message>,
) {
    private val cbor = Cbor {
        alwaysUseByteString = true
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }
    private val headBytes = encodeDatagram(emptyList()).size + LIST_HEAD_BYTES

    fun encode(message: Message): ByteArray = cbor.encodeToByteArray(serializer, message)

    /** Whether a datagram has room for [message]. */
    fun fits(message: ByteArray): Boolean = headBytes + sizeOf(message) <= MAXIMUM_DATAGRAM_BYTES

    /** Puts [messages], each of which fits, into as few datagrams as their order allows. */
    fun pack(messages: List<ByteArray>): List<ByteArray> {
        val datagrams = ArrayList<ByteArray>()
        val next = ArrayList<ByteArray>()
        var size = headBytes
        messages.forEach { message ->
            val messageSize = sizeOf(message)
            if (next.isNotEmpty() && size + messageSize > MAXIMUM_DATAGRAM_BYTES) {
                datagrams += encodeDatagram(next)
                next.clear()
                size = headBytes
            }
            next += message
            size += messageSize
        }
        if (next.isNotEmpty()) datagrams += encodeDatagram(next)
        return datagrams
    }

    /** Decodes [bytes]; null when they are no datagram of an entry. */
    fun decodeDatagram(bytes: ByteArray): EntryDatagram? =
        runCatching { cbor.decodeFromByteArray(EntryDatagram.serializer(), bytes) }.get()

    /** Decodes a message of a datagram; null when this version does not know it. */
    fun decode(message: ByteArray): Message? = runCatching { cbor.decodeFromByteArray(serializer, message) }.get()

    /** Bytes of [message] in a datagram, with the head of its byte string. */
    private fun sizeOf(message: ByteArray) = message.size + LONGER_HEADS.count { message.size >= it }

    private fun encodeDatagram(messages: List<ByteArray>) =
        cbor.encodeToByteArray(EntryDatagram.serializer(), EntryDatagram(sender, start, messages))

    companion object {
        /** Fits an Ethernet frame, also in a tunnel, so that no datagram is lost with one of its fragments. */
        const val MAXIMUM_DATAGRAM_BYTES = 1200

        /** Bytes by which the length of a list of up to 65,535 elements exceeds that of an empty one. */
        private const val LIST_HEAD_BYTES = 2

        /** Lengths of a byte string from which on its head has one byte more. */
        private val LONGER_HEADS = listOf(0, 24, 256)
    }
}
