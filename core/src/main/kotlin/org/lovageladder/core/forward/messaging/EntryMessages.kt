package org.lovageladder.core.forward.messaging

import kotlinx.serialization.Serializable
import org.lovageladder.core.ProcessName

/**
 * A message from one entry to another. Durations in it are relative, since the clocks of two hosts are not comparable.
 * Its `@SerialName` is short, and its encoding has at most [MAXIMUM_ENTRY_MESSAGE_BYTES].
 */
@Serializable
public sealed interface EntryMessage

/** Messages are not split, and one beyond this size is dropped. With any sender's name it fits a full datagram. */
public const val MAXIMUM_ENTRY_MESSAGE_BYTES: Int = 1_100

/** Sends messages to other entries. */
public fun interface EntryMessagePort {
    /**
     * Sends [message] to the entry [recipient]. Messages may be lost, repeated and reordered; one to an entry without a
     * known address is dropped.
     */
    public fun send(recipient: ProcessName, message: EntryMessage)
}
