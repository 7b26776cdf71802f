package org.lovageladder.standin

import kotlinx.serialization.encodeToString

/** Rate limits of a [KeyValueStandIn]; calls above a limit wait, and 0 sets no limit. */
public data class KeyValueSettings(val writesPerSecond: Int = 0, val readsPerSecond: Int = 0)

/**
 * In-memory version of the platform's key-value service, with the published JSON gateway of etcd v3 for keys,
 * transactions, leases and watches. Leases also expire while the service is down.
 *
 * `GET /stats` returns call counts by kind. `POST /fault` makes the service unavailable or slow, or makes it lose
 * answers to writes or return old data.
 */
public class KeyValueStandIn private constructor(settings: KeyValueSettings, requestedPort: Int) : AutoCloseable {
    private val thread = EventLoopThread()
    private val faults = KeyValueFaults(thread)
    private val writeLimiter = CallRateLimiter(thread, settings.writesPerSecond)
    private val readLimiter = CallRateLimiter(thread, settings.readsPerSecond)
    private val store: KeyValueStore = KeyValueStore { revision, changes -> onChanges(revision, changes) }
    private val leases = KeyValueLeases(thread, store)
    private val watches = KeyValueWatches(store)
    private val callCounter = KeyValueCallCounter(thread) { watches.openCount }
    private val server = HttpServer.start(thread, requestedPort) { route(it) }

    public val port: Int = server.port

    /** Stops the service and closes its connections. */
    override fun close() {
        server.close()
        thread.close()
    }

    private fun route(exchange: HttpExchange) {
        val request = exchange.request
        when (request.method + " " + request.path) {
            "GET /stats" -> exchange.answer(StandInJson.lenient.encodeToString(callCounter.stats(store.revision)))
            "POST /fault" -> injectFault(exchange)
            else -> receiveCall(exchange)
        }
    }

    private fun receiveCall(exchange: HttpExchange) {
        if (faults.isDown) {
            exchange.abort()
            return
        }
        val request = exchange.request
        if (request.path == "/health") {
            exchange.answer("""{"health":"true"}""")
            return
        }
        val call = KeyValueCall.forPath(request.path).takeIf { request.method == "POST" }
        if (call == null) {
            throw RequestRefused.unknownPath(request)
        }
        callCounter.record(call)
        val limiter = if (call.isWrite) writeLimiter else readLimiter
        val delay = faults.callDelay + limiter.reserveStart()
        if (delay.isPositive()) {
            thread.schedule(delay) { handle(call, exchange) }
        } else {
            handle(call, exchange)
        }
    }

    private fun handle(call: KeyValueCall, exchange: HttpExchange) {
        if (faults.isDown) {
            exchange.abort()
            return
        }
        try {
            if (call == KeyValueCall.WATCH) openWatch(exchange) else answer(call, exchange)
        } catch (refused: KeyValueRefused) {
            val error = KeyValueError(refused.message, refused.code)
            exchange.answer(keyValueJson.encodeToString(error), refused.status)
        } catch (refused: RequestRefused) {
            exchange.refuse(refused)
        }
    }

    private fun answer(call: KeyValueCall, exchange: HttpExchange) {
        val body = execute(call, exchange.request.body)
        if (call.isWrite && faults.consumeAnswerLoss()) {
            exchange.abort()
        } else {
            exchange.answer(body)
        }
    }

    private fun execute(call: KeyValueCall, body: String): String = when (call) {
        KeyValueCall.RANGE -> encode(range(read(body)))
        KeyValueCall.PUT -> encode(put(read(body)))
        KeyValueCall.DELETE_RANGE -> encode(deleteRange(read(body)))
        KeyValueCall.TXN -> encode(transact(read(body)))
        KeyValueCall.LEASE_GRANT -> encode(leases.grant(read(body)))
        KeyValueCall.LEASE_REVOKE -> encode(leases.revoke(read<LeaseRequest>(body).id))
        KeyValueCall.LEASE_KEEP_ALIVE -> encode(keepAlive(read(body)))
        KeyValueCall.LEASE_TIME_TO_LIVE -> encode(leases.timeToLive(read(body)))
        KeyValueCall.WATCH -> error("a watch is answered with a stream, not a single body")
    }

    private fun range(request: RangeRequest): RangeResponse {
        checkKey(request.key)
        val visibleRevision = (store.revision - faults.staleRevisions).coerceAtLeast(maxOf(store.compactRevision, 1))
        return store.range(request, visibleRevision)
    }

    private fun put(request: PutRequest): PutResponse {
        checkPut(request)
        return store.commit { put(request) }
    }

    private fun deleteRange(request: DeleteRangeRequest): DeleteRangeResponse {
        checkKey(request.key)
        return store.commit { deleteRange(request) }
    }

    private fun transact(request: TxnRequest): TxnResponse {
        (request.success + request.failure).mapNotNull { it.put }.forEach { checkPut(it) }
        return store.runTransaction(request)
    }

    private fun keepAlive(request: LeaseRequest) = LeaseKeepAliveEnvelope(leases.keepAlive(request.id))

    private fun checkPut(put: PutRequest) {
        checkKey(put.key)
        if (put.value.length > MAXIMUM_VALUE_BYTES) {
            throw KeyValueRefused.invalid("etcdserver: request is too large")
        }
        leases.requireLease(put)
    }

    private fun checkKey(key: String) {
        if (key.isEmpty()) {
            throw KeyValueRefused.invalid("etcdserver: key is not provided")
        }
    }

    private fun openWatch(exchange: HttpExchange) {
        val request = read<WatchRequest>(exchange.request.body)
        val create = request.create ?: throw KeyValueRefused.invalid("field create_request is missing")
        checkKey(create.key)
        watches.open(create, exchange)
    }

    private fun onChanges(revision: Long, changes: List<KeyChange>) {
        changes.forEach { leases.attach(it.kv.key, it.kv.lease) }
        watches.notifyWatches(revision, changes)
    }

    private fun injectFault(exchange: HttpExchange) {
        val fault = StandInJson.read<KeyValueFault>(exchange.request.body, StandInJson.strict)
        faults.inject(fault)
        exchange.answer("{}")
        if (faults.isDown) {
            watches.clear()
            server.closeConnections(exchange)
        }
    }

    private inline fun <reified Body> read(body: String): Body = StandInJson.read(body, keyValueJson)

    private inline fun <reified Body> encode(body: Body): String = keyValueJson.encodeToString(body)

    public companion object {
        private const val MAXIMUM_VALUE_BYTES = 1024 * 1024

        /** Starts the service on loopback at [port], or at a free port when it is 0; throws when the port is taken. */
        public fun start(port: Int = 0, settings: KeyValueSettings = KeyValueSettings()): KeyValueStandIn =
            KeyValueStandIn(settings, port)
    }
}
