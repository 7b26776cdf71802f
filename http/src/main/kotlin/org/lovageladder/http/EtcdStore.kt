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
 * Opens the platform's key-value service at [addresses], using the JSON gateway of etcd v3 over HTTP.
 *
 * A read is retried at the next address when a call fails. A write is retried only when the connection was not made;
 * once it may have been sent, a missing answer gives [StoreAnswer.Unavailable]. An error answer of the service gives
 * [StoreAnswer.Unavailable] with cause [FaultCause.REJECTED]. Renewing an expired lease gives [StoreAnswer.Leased] with
 * a time to live of zero.
 */
public fun openEtcdStore(addresses: List<Address>, threads: HttpThreads = HttpThreads.shared): KeyValueStore {
    require(addresses.isNotEmpty()) { "the key-value service needs at least one address" }
    return EtcdStore(addresses, HttpClient(threads))
}

private class EtcdStore(private val addresses: List<Address>, private val client: HttpClient) : KeyValueStore {
    private val preferredIndex = AtomicInteger()

    override fun call(request: StoreRequest, timeout: Duration, answer: (StoreAnswer) -> Unit) {
        val deadline = TimeSource.Monotonic.markNow() + timeout
        PendingRequest(EtcdRequest.of(request), deadline, answer).send(remainingAddresses = addresses.size)
    }

    override fun watch(prefix: String, changed: (StoredEntry) -> Unit, ended: (Fault) -> Unit): AutoCloseable {
        val index = preferredIndex.get()
        val receiver = EtcdWatchReceiver(addresses[index], changed) { fault ->
            preferNextAddress(index)
            ended(fault)
        }
        val running = client.start(addresses[index], watchCall(prefix), receiver, ConnectionUse.FRESH)
        return AutoCloseable { running.cancel() }
    }

    override fun close(): Unit = client.close()

    private fun preferNextAddress(index: Int) {
        preferredIndex.compareAndSet(index, (index + 1) % addresses.size)
    }

    /** One request, sent to one address after another until it is answered or may not be retried. */
    private inner class PendingRequest(
        private val request: EtcdRequest,
        private val deadline: TimeMark,
        private val answer: (StoreAnswer) -> Unit,
    ) {
        fun send(remainingAddresses: Int) {
            val index = preferredIndex.get()
            val address = addresses[index]
            val timeLeft = -deadline.elapsedNow()
            if (!timeLeft.isPositive()) {
                answer(unavailable(address, FaultCause.TIMEOUT, "the timeout ended before the request was sent"))
                return
            }
            val call = jsonPost(request.path, request.body)
            client.callWhole(
                address,
                call,
                HttpTimeouts(minOf(timeLeft, HttpClient.CONNECT_TIMEOUT), timeLeft),
            ) { result ->
                when (result) {
                    is HttpResult.Answered -> answer(read(address, result.answer))
                    is HttpResult.Failed -> failOver(index, result.failure, remainingAddresses - 1)
                }
            }
        }

        private fun failOver(index: Int, failure: HttpFailure, remainingAddresses: Int) {
            preferNextAddress(index)
            val mayRetry = request.isSafeToRetry || !failure.requestSent
            if (mayRetry && remainingAddresses > 0 && failure.cause != FaultCause.CANCELLED) {
                send(remainingAddresses)
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
    val creation = EtcdWatchCreation(EtcdRange(encodeBase64(prefix), encodedPrefixEnd(prefix)))
    return jsonPost("/v3/watch", etcdJson.encodeToString(EtcdWatchCreation.serializer(), creation))
}

/** A `POST` request with a JSON body. */
internal fun jsonPost(
    path: String,
    body: String,
    fields: List<HttpField> = emptyList(),
    recognition: AnswerRecognition = AnswerRecognition.ByOrder,
): HttpCall = HttpCall(
    HttpMethod.POST,
    path,
    body.encodeToByteArray(),
    contentType = JSON_TYPE,
    fields = fields,
    recognition = recognition,
)
