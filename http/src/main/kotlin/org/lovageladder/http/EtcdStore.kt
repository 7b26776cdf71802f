package org.lovageladder.http

import io.netty.handler.codec.http.HttpMethod
import org.lovageladder.core.Address
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.KeyValueStore
import org.lovageladder.core.Step
import org.lovageladder.core.StoreAnswer
import org.lovageladder.core.StoreRequest
import org.lovageladder.core.StoredEntry
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Opens the platform's key-value service at [addresses] by etcd v3's JSON mapping over HTTP.
 *
 * A read goes on to the next address when a connection fails. A write does so only when the connection was not made;
 * once it may have been sent, a lost answer is [StoreAnswer.Unavailable]. An error answered by the service is
 * [StoreAnswer.Unavailable] with cause [FaultCause.REJECTED]. A lease that lapsed is renewed for no time at all:
 * [StoreAnswer.Leased] with a time to live of zero.
 */
public fun openEtcdStore(addresses: List<Address>, threads: HttpThreads = HttpThreads.shared): KeyValueStore {
    require(addresses.isNotEmpty()) { "the key-value service has no address, at least one is needed" }
    return EtcdStore(addresses, HttpClient(threads))
}

private class EtcdStore(private val addresses: List<Address>, private val client: HttpClient) : KeyValueStore {
    private val preferred = AtomicInteger()

    override fun call(request: StoreRequest, timeout: Duration, answer: (StoreAnswer) -> Unit) {
        val deadline = TimeSource.Monotonic.markNow() + timeout
        Attempt(EtcdRequest.of(request), deadline, answer).send(addressesLeft = addresses.size)
    }

    override fun watch(prefix: String, changed: (StoredEntry) -> Unit, ended: (Fault) -> Unit): AutoCloseable {
        val index = preferred.get()
        val receiver = EtcdWatchReceiver(addresses[index], changed) { fault ->
            preferNextAfter(index)
            ended(fault)
        }
        val running = client.start(addresses[index], watchCall(prefix), receiver, ConnectionUse.FRESH)
        return AutoCloseable { running.abandon() }
    }

    override fun close(): Unit = client.close()

    private fun preferNextAfter(index: Int) {
        preferred.compareAndSet(index, (index + 1) % addresses.size)
    }

    /** One request on its way through the addresses. */
    private inner class Attempt(
        private val request: EtcdRequest,
        private val deadline: TimeMark,
        private val answer: (StoreAnswer) -> Unit,
    ) {
        fun send(addressesLeft: Int) {
            val index = preferred.get()
            val address = addresses[index]
            val left = -deadline.elapsedNow()
            if (!left.isPositive()) {
                answer(unavailable(address, FaultCause.TIMEOUT, "no time is left to ask"))
                return
            }
            val call = jsonPost(request.path, request.body)
            client.ask(address, call, HttpWait(minOf(left, HttpClient.CONNECT_LIMIT), left)) { result ->
                when (result) {
                    is HttpResult.Answered -> answer(read(address, result.answer))
                    is HttpResult.Failed -> goOn(index, result.failure, addressesLeft - 1)
                }
            }
        }

        private fun goOn(index: Int, failure: HttpFailure, addressesLeft: Int) {
            preferNextAfter(index)
            val mayRepeat = request.isRead || !failure.sent
            if (mayRepeat && addressesLeft > 0 && failure.cause != FaultCause.CANCELLED) {
                send(addressesLeft)
            } else {
                answer(unavailable(addresses[index], failure.cause, failure.detail))
            }
        }

        private fun read(address: Address, answer: HttpAnswer): StoreAnswer {
            if (answer.status != STATUS_OK) {
                return unavailable(address, FaultCause.REJECTED, "status ${answer.status}: ${answer.body}")
            }
            return try {
                request.readAnswer(answer.body)
            } catch (malformed: IllegalArgumentException) {
                unavailable(address, FaultCause.PROTOCOL, malformed.message.orEmpty())
            }
        }
    }
}

private fun unavailable(address: Address, cause: FaultCause, detail: String) =
    StoreAnswer.Unavailable(Fault(Step.STORE, address.toString(), cause, detail))

private fun watchCall(prefix: String): HttpCall {
    val creation = EtcdWatchCreation(EtcdRange(encodeBytes(prefix), encodedPrefixEnd(prefix)))
    return jsonPost("/v3/watch", etcdJson.encodeToString(EtcdWatchCreation.serializer(), creation))
}

/** A `POST` of JSON. */
internal fun jsonPost(path: String, body: String, fields: List<HttpField> = emptyList()): HttpCall =
    HttpCall(HttpMethod.POST, path, body.encodeToByteArray(), contentType = JSON_TYPE, fields = fields)
