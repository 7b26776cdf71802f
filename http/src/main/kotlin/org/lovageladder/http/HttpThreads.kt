package org.lovageladder.http

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.PooledByteBufAllocator
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.util.concurrent.TimeUnit

/**
 * Event loop threads shared by the HTTP servers and clients of a process. Closing ends all connections on them and
 * waits up to two seconds for submitted tasks to finish. Must not be closed from one of its own threads.
 */
public class HttpThreads(count: Int = DEFAULT_THREAD_COUNT) : AutoCloseable {
    internal val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(count, DefaultThreadFactory("http", true), NioIoHandler.newFactory())

    override fun close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .awaitUninterruptibly(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    public companion object {
        private const val DEFAULT_THREAD_COUNT = 2
        private const val CLOSE_TIMEOUT_SECONDS = 2L

        /** Default threads of all servers and clients that are given no others. Never closed. */
        public val shared: HttpThreads by lazy { HttpThreads() }
    }
}

/** Buffer allocator with few, small arenas, so that a few busy connections do not reserve much direct memory. */
internal object HttpBuffers {
    private const val ARENA_COUNT = 2
    private const val PAGE_BYTES = 8192
    private const val CHUNK_ORDER = 5
    private const val SMALL_CACHE_SIZE = 64
    private const val NORMAL_CACHE_SIZE = 16

    val allocator: ByteBufAllocator = PooledByteBufAllocator(
        true,
        ARENA_COUNT,
        ARENA_COUNT,
        PAGE_BYTES,
        CHUNK_ORDER,
        SMALL_CACHE_SIZE,
        NORMAL_CACHE_SIZE,
        false,
    )
}
