package org.lovageladder.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.lovageladder.core.Address
import java.net.InetSocketAddress

/** Listens on [bind] and sets up connections with [initializer]; throws [java.net.BindException] when it is in use. */
internal fun listenForHttp(
    bind: Address,
    threads: HttpThreads,
    initializer: ChannelInitializer<SocketChannel>,
): Channel = ServerBootstrap()
    .group(threads.group)
    .channel(NioServerSocketChannel::class.java)
    .option(ChannelOption.SO_BACKLOG, BACKLOG)
    .option(ChannelOption.SO_REUSEADDR, true)
    .childOption(ChannelOption.TCP_NODELAY, true)
    .childOption(ChannelOption.SO_KEEPALIVE, true)
    .childOption(ChannelOption.ALLOCATOR, HttpBuffers.allocator)
    .childOption(ChannelOption.RECVBUF_ALLOCATOR, readToTheEnd)
    .childHandler(initializer)
    .bind(bind.ip, bind.port)
    .syncUninterruptibly()
    .channel()

/** Address that [listener] is bound to; with the assigned port when the requested port was 0. */
internal fun boundAddress(listener: Channel): Address =
    (listener.localAddress() as InetSocketAddress).let { Address(it.address.hostAddress, it.port) }

/** Reads until nothing is left, so that the close of a connection is seen together with the bytes before it. */
private val readToTheEnd =
    AdaptiveRecvByteBufAllocator(USUAL_READ_BYTES, USUAL_READ_BYTES, MAXIMUM_READ_BYTES)
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAXIMUM_READS)

/** Size of a read buffer, which does not shrink further when a connection is read and nothing has arrived. */
private const val USUAL_READ_BYTES = 2048
private const val MAXIMUM_READ_BYTES = 65_536

/** Reads of one connection before others have their turn. */
private const val MAXIMUM_READS = 16

/** Maximum connections waiting to be accepted; more than the usual 50, since callers connect in bursts. */
private const val BACKLOG = 1024
