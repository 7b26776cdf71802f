package org.lovageladder.http

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.PooledByteBufAllocator
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.util.concurrent.TimeUnit

/**
 * Event loop threads that HTTP servers and clients of one process share. Closing ends all connections on them and
 * waits, at most two seconds, until the tasks handed over before have run. May not be closed on one of its threads.
 */
public class HttpThreads(count: Int = DEFAULT_COUNT) : AutoCloseable {
    internal val group: EventLoopGroup =
        MultiThreadIoEventLoopGroup(count, DefaultThreadFactory("http", true), NioIoHandler.newFactory())

    override fun close() {
        group.shutdownGracefully(0, CLOSE_LIMIT_SECONDS, TimeUnit.SECONDS)
            .awaitUninterruptibly(CLOSE_LIMIT_SECONDS, TimeUnit.SECONDS)
    }

    public companion object {
        private const val DEFAULT_COUNT = 2
        private const val CLOSE_LIMIT_SECONDS = 2L

        /** Threads that are shared by all servers and clients that are not given others; they are never closed. */
        public val shared: HttpThreads by lazy { HttpThreads() }
    }
}

/** Allocator with small arenas, so that a few busy connections do not claim much direct memory. */
internal object SmallBuffers {
    private const val ARENAS = 2
    private const val PAGE_BYTES = 8192
    private const val PAGES_PER_CHUNK_SHIFT = 5
    private const val SMALL_CACHED = 64
    private const val NORMAL_CACHED = 16

    val allocator: ByteBufAllocator = PooledByteBufAllocator(
        true,
        ARENAS,
        ARENAS,
        PAGE_BYTES,
        PAGES_PER_CHUNK_SHIFT,
        SMALL_CACHED,
        NORMAL_CACHED,
        false,
    )
}
