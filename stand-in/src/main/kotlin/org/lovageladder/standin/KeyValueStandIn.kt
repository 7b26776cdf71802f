package org.lovageladder.standin

import kotlinx.serialization.encodeToString

/** Rates that a [KeyValueStandIn] takes; calls beyond them wait for their turn, and 0 sets no limit. */
public data class KeyValueSettings(val writesPerSecond: Int = 0, val readsPerSecond: Int = 0)

/**
 * The platform's key-value service: the published JSON mapping of etcd v3 for keys, transactions, leases and watches,
 * in memory. Leases go on to expire while the service is down.
 *
 * Besides: `GET /stats` counts calls by kind; `POST /fault` makes it down, slow, lose answers or answer old data.
 */
public class KeyValueStandIn private constructor(settings: KeyValueSettings, requestedPort: Int) : AutoCloseable {
    private val thread = EventLoopThread()
    private val faults = KeyValueFaults(thread)
    private val writePace = KeyValuePace(thread, settings.writesPerSecond)
    private val readPace = KeyValuePace(thread, settings.readsPerSecond)
    private val store: KeyValueStore = KeyValueStore { revision, changes -> onChanges(revision, changes) }
    private val leases = KeyValueLeases(thread, store)
    private val watches = KeyValueWatches(store)
    private val meter = KeyValueMeter(thread) { watches.openCount }
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
            "GET /stats" -> exchange.answer(StandInJson.answers.encodeToString(meter.stats(store.revision)))
            "POST /fault" -> injectFault(exchange)
            else -> receive(exchange)
        }
    }

    private fun receive(exchange: HttpExchange) {
        if (faults.isDown) {
            exchange.drop()
            return
        }
        val request = exchange.request
        if (request.path == "/health") {
            exchange.answer("""{"health":"true"}""")
            return
        }
        val call = KeyValueCall.at(request.path).takeIf { request.method == "POST" }
        if (call == null) {
            throw RequestRefused.unknownPath(request)
        }
        meter.count(call)
        val pace = if (call.writes) writePace else readPace
        val delay = faults.delay + pace.takePlace()
        if (delay.isPositive()) {
            thread.after(delay) { handle(call, exchange) }
        } else {
            handle(call, exchange)
        }
    }

    private fun handle(call: KeyValueCall, exchange: HttpExchange) {
        if (faults.isDown) {
            exchange.drop()
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
        val body = run(call, exchange.request.body)
        if (call.writes && faults.losesAnswer()) {
            exchange.drop()
        } else {
            exchange.answer(body)
        }
    }

    private fun run(call: KeyValueCall, body: String): String = when (call) {
        KeyValueCall.RANGE -> encode(range(read(body)))
        KeyValueCall.PUT -> encode(put(read(body)))
        KeyValueCall.DELETE_RANGE -> encode(deleteRange(read(body)))
        KeyValueCall.TXN -> encode(transact(read(body)))
        KeyValueCall.LEASE_GRANT -> encode(leases.grant(read(body)))
        KeyValueCall.LEASE_REVOKE -> encode(leases.revoke(read<LeaseRequest>(body).id))
        KeyValueCall.LEASE_KEEP_ALIVE -> encode(keepAlive(read(body)))
        KeyValueCall.LEASE_TIME_TO_LIVE -> encode(leases.timeToLive(read(body)))
        KeyValueCall.WATCH -> error("a watch is a stream and has no single answer")
    }

    private fun range(request: RangeRequest): RangeResponse {
        checkKey(request.key)
        val seenRevision = (store.revision - faults.revisionsBack).coerceAtLeast(maxOf(store.compactRevision, 1))
        return store.range(request, seenRevision)
    }

    private fun put(request: PutRequest): PutResponse {
        check(request)
        return store.change { put(request) }
    }

    private fun deleteRange(request: DeleteRangeRequest): DeleteRangeResponse {
        checkKey(request.key)
        return store.change { deleteRange(request) }
    }

    private fun transact(request: TxnRequest): TxnResponse {
        (request.success + request.failure).mapNotNull { it.put }.forEach { check(it) }
        return store.run(request)
    }

    private fun keepAlive(request: LeaseRequest) = LeaseKeepAliveEnvelope(leases.keepAlive(request.id))

    private fun check(put: PutRequest) {
        checkKey(put.key)
        if (put.value.length > MAXIMUM_VALUE_BYTES) {
            throw KeyValueRefused.invalid("etcdserver: request is too large")
        }
        leases.check(put)
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
        watches.announce(revision, changes)
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
