package org.lovageladder.http.forward

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import io.netty.util.NetUtil
import kotlinx.serialization.KSerializer
import org.lovageladder.core.Address
import org.lovageladder.core.ProcessName
import org.lovageladder.core.forward.EventSink
import org.lovageladder.core.forward.Scheduler
import org.lovageladder.core.forward.messaging.DroppedMessageLog
import org.lovageladder.core.forward.messaging.EntryMessageFilter
import org.lovageladder.core.forward.messaging.MessageDirection
import org.lovageladder.core.forward.messaging.MessageOutcome
import org.lovageladder.http.HttpBuffers
import org.lovageladder.http.HttpThreads
import org.lovageladder.http.boundAddress
import org.tinylog.kotlin.Logger
import java.net.InetAddress
import java.net.InetSocketAddress

/** Name of an entry in its datagrams, and the number of its start, which is later after each restart. */
public data class EntryIdentity(val name: ProcessName, val start: Long)

/**
 * Exchanges messages of [serializer] with other entries in UDP datagrams on the event loop of [threads], which must
 * have one thread only. Messages to one entry in one turn of the loop share a datagram. [addressOf] names where an
 * entry receives messages; datagrams of entries without such an address are dropped. Messages may be lost, repeated and
 * reordered, and [send] never blocks or throws. Confined to the event loop.
 *
 * The constructor listens on [bind] and throws [java.net.BindException] when it is in use; datagrams are read from
 * [start] on.
 */
public class EntryMessageChannel<Message : Any>(
    bind: Address,
    threads: HttpThreads,
    identity: EntryIdentity,
    serializer: KSerializer<Message>,
    private val scheduler: Scheduler,
    private val addressOf: (ProcessName) -> Address?,
    events: EventSink,
    registry: MeterRegistry,
) : AutoCloseable {
    private val codec = EntryDatagramCodec(identity.name, identity.start, serializer)
    private val filter = EntryMessageFilter { addressOf(it) != null }
    private val drops = DroppedMessageLog(events)
    private val counters = MessageOutcome.entries.associateWith { outcome ->
        Counter.builder("lovageladder.entry.messages")
            .tags("direction", outcome.direction.label, "outcome", outcome.label)
            .description("Messages between entries; a datagram that is dropped whole counts as one")
            .register(registry)
    }
    private val byteCounters = MessageDirection.entries.associateWith { direction ->
        Counter.builder("lovageladder.entry.message.bytes")
            .tag("direction", direction.label)
            .description("Bytes of datagrams between entries, without their IP and UDP headers")
            .register(registry)
    }
    private val pending = LinkedHashMap<ProcessName, ArrayList<ByteArray>>()
    private var pendingBytes = 0
    private var onMessage: (ProcessName, Message) -> Unit = { _, _ -> }
    private val channel: Channel = Bootstrap()
        .group(threads.group)
        .channel(NioDatagramChannel::class.java)
        .option(ChannelOption.ALLOCATOR, HttpBuffers.allocator)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            FixedRecvByteBufAllocator(READ_BUFFER_BYTES).maxMessagesPerRead(MAXIMUM_READS),
        )
        .handler(Receiver())
        .bind(bind.ip, bind.port)
        .syncUninterruptibly()
        .channel()

    /** Address that other entries send to; with the assigned port when the requested port was 0. */
    public val address: Address = boundAddress(channel)

    /** Begins to pass received messages to [onMessage] with the names of their senders. */
    public fun start(onMessage: (ProcessName, Message) -> Unit) {
        this.onMessage = onMessage
        channel.config().isAutoRead = true
    }

    /** Sends [message] to the entry [recipient] at the end of this turn of the event loop. */
    public fun send(recipient: ProcessName, message: Message) {
        val encoded = codec.encode(message)
        if (!codec.fits(encoded)) return drop(MessageOutcome.OVERSIZED, "to $recipient bytes=${encoded.size}")
        if (pendingBytes + encoded.size > MAXIMUM_PENDING_BYTES) return drop(MessageOutcome.CONGESTED, "to $recipient")
        if (pending.isEmpty()) channel.eventLoop().execute(::sendPending)
        pending.getOrPut(recipient) { ArrayList() } += encoded
        pendingBytes += encoded.size
    }

    override fun close() {
        channel.close().awaitUninterruptibly()
    }

    private fun sendPending() {
        pending.forEach { (recipient, messages) -> sendTo(recipient, messages) }
        pending.clear()
        pendingBytes = 0
        channel.flush()
    }

    private fun sendTo(recipient: ProcessName, messages: List<ByteArray>) {
        val destination = addressOf(recipient)?.let(::toSocketAddress)
        if (destination == null) return repeat(messages.size) { drop(MessageOutcome.NO_ADDRESS, "to $recipient") }
        if (!channel.isWritable) return repeat(messages.size) { drop(MessageOutcome.CONGESTED, "to $recipient") }
        counters.getValue(MessageOutcome.SENT).increment(messages.size.toDouble())
        codec.pack(messages).forEach { datagram ->
            byteCounters.getValue(MessageDirection.SENT).increment(datagram.size.toDouble())
            channel.write(DatagramPacket(Unpooled.wrappedBuffer(datagram), destination)).addListener { write ->
                if (!write.isSuccess) drop(MessageOutcome.SEND_FAILED, "to $recipient: ${write.cause()}")
            }
        }
    }

    /** Null when the address is no literal one, whose look-up would block. */
    private fun toSocketAddress(address: Address): InetSocketAddress? =
        NetUtil.createByteArrayFromIpAddressString(address.ip)
            ?.let { InetSocketAddress(InetAddress.getByAddress(it), address.port) }

    private fun receive(packet: DatagramPacket) {
        val size = packet.content().readableBytes()
        byteCounters.getValue(MessageDirection.RECEIVED).increment(size.toDouble())
        val datagram =
            if (size > EntryDatagramCodec.MAXIMUM_DATAGRAM_BYTES) {
                null
            } else {
                codec.decodeDatagram(ByteBufUtil.getBytes(packet.content()))
            }
        if (datagram == null) return drop(MessageOutcome.UNREADABLE, "from ${packet.sender()} bytes=$size")
        val reason = filter.reasonToDrop(datagram.sender, datagram.start, scheduler.now())
        if (reason != null) return drop(reason, "from ${packet.sender()} start=${datagram.start}")
        datagram.messages.forEach { deliver(datagram.sender, it) }
    }

    @Suppress("TooGenericExceptionCaught") // A handler that fails must not stop the messages after this one.
    private fun deliver(sender: ProcessName, encoded: ByteArray) {
        val message = codec.decode(encoded) ?: return drop(MessageOutcome.UNREADABLE, "from $sender")
        try {
            onMessage(sender, message)
            counters.getValue(MessageOutcome.DELIVERED).increment()
        } catch (failure: RuntimeException) {
            Logger.error(failure) { "message of $sender failed" }
            drop(MessageOutcome.HANDLER_FAILED, "from $sender: $failure")
        }
    }

    private fun drop(outcome: MessageOutcome, detail: String) {
        counters.getValue(outcome).increment()
        drops.record(outcome, detail, scheduler.now())
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket): Unit = receive(packet)

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable): Unit =
            drop(MessageOutcome.UNREADABLE, "$cause")
    }

    private companion object {
        /** More than a datagram, so that one that is too long is recognised. */
        const val READ_BUFFER_BYTES = 2048

        /** Datagrams that are read before callers and upstreams have their turn; a flood then delays nobody. */
        const val MAXIMUM_READS = 16

        /** Holds a datagram of each of 370 entries, the design size. */
        const val SOCKET_BUFFER_BYTES = 512 * 1024

        /** Messages that are sent in one turn of the event loop. */
        const val MAXIMUM_PENDING_BYTES = 1024 * 1024
    }
}
