package org.lovageladder.standin

import io.netty.buffer.Unpooled

/** Total rate of a [WeightStoreStandIn], shared by all its callers. */
public data class WeightStoreSettings(val bytesPerSecond: Long = 100_000_000)

/** The platform's rate-limited weight store: `GET /weights/NAME?bytes=N` streams N zero bytes. */
public class WeightStoreStandIn private constructor(settings: WeightStoreSettings, requestedPort: Int) :
    AutoCloseable {
    private val thread = EventLoopThread()
    private val link = SharedLink(thread, settings.bytesPerSecond)
    private val server = HttpServer.start(thread, requestedPort) { route(it) }

    public val port: Int = server.port

    /** Stops the store and aborts its streams. */
    override fun close() {
        server.close()
        thread.close()
    }

    private fun route(exchange: HttpExchange) {
        val request = exchange.request
        when {
            request.method == "GET" && request.path == "/health" -> exchange.answer("")
            request.method == "GET" && request.path.startsWith("/weights/") -> streamWeights(exchange)
            else -> throw RequestRefused.unknownPath(request)
        }
    }

    private fun streamWeights(exchange: HttpExchange) {
        val value = exchange.request.query["bytes"]?.firstOrNull()
        val bytes = value?.toLongOrNull()
        requireField(bytes != null && bytes >= 0, "bytes", value, "a whole number, 0 or more")
        exchange.startStream(HttpExchange.OCTET_STREAM_TYPE)
        sendRest(exchange, bytes ?: 0)
    }

    private fun sendRest(exchange: HttpExchange, remaining: Long) {
        if (remaining == 0L) {
            exchange.end()
            return
        }
        val size = remaining.coerceAtMost(CHUNK_BYTES)
        val transfer =
            link.startTransfer(size) {
                exchange.write(Unpooled.wrappedBuffer(ByteArray(size.toInt()))) { sendRest(exchange, remaining - size) }
            }
        exchange.onDisconnect = { link.abort(transfer) }
    }

    public companion object {
        private const val CHUNK_BYTES = 64L * 1024

        /** Starts a store on loopback at [port], or at a free port when it is 0; throws when the port is taken. */
        public fun start(port: Int = 0, settings: WeightStoreSettings = WeightStoreSettings()): WeightStoreStandIn =
            WeightStoreStandIn(settings, port)
    }
}
