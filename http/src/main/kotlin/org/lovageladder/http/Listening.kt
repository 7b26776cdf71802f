package org.lovageladder.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.lovageladder.core.Address
import java.net.InetSocketAddress

/** Listens on [bind]; [connections] prepares each connection. Throws [java.net.BindException] when it is taken. */
internal fun listenForHttp(
    bind: Address,
    threads: HttpThreads,
    connections: ChannelInitializer<SocketChannel>,
): Channel = ServerBootstrap()
    .group(threads.group)
    .channel(NioServerSocketChannel::class.java)
    .option(ChannelOption.SO_BACKLOG, BACKLOG)
    .option(ChannelOption.SO_REUSEADDR, true)
    .childOption(ChannelOption.TCP_NODELAY, true)
    .childOption(ChannelOption.SO_KEEPALIVE, true)
    .childOption(ChannelOption.ALLOCATOR, SmallBuffers.allocator)
    .childHandler(connections)
    .bind(bind.ip, bind.port)
    .syncUninterruptibly()
    .channel()

/** Where a listening channel accepts connections, with the port that was chosen when 0 was asked for. */
internal fun addressOf(listener: Channel): Address =
    (listener.localAddress() as InetSocketAddress).let { Address(it.address.hostAddress, it.port) }

/** Connections that wait to be accepted; above the usual 50, since callers connect in bursts. */
private const val BACKLOG = 1024
