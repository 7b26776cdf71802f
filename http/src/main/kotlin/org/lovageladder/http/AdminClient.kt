package org.lovageladder.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.QueryStringEncoder
import org.lovageladder.core.Address
import org.lovageladder.core.EventRecord
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.RequestId
import org.lovageladder.core.Step
import java.net.URLEncoder
import java.nio.charset.StandardCharsets
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** Client of the admin servers of processes. Calls block until the answer arrives or the timeout ends. */
public interface AdminClient : AutoCloseable {
    /** Status of the process as a JSON object. */
    public fun status(address: Address): Result<String, Fault>

    /** Recorded events of the process that match [filter]. */
    public fun events(address: Address, filter: EventFilter = EventFilter()): Result<List<EventRecord>, Fault>

    /** Recorded events that explain how [request] was routed or why it was refused. */
    public fun explain(address: Address, request: RequestId): Result<List<EventRecord>, Fault>

    /** Starts to drain the process. */
    public fun startDrain(address: Address): Result<Unit, Fault>

    /** Whether the process is ready to accept requests. */
    public fun isReady(address: Address): Result<Boolean, Fault>
}

/** Opens an [AdminClient] whose calls fail after [timeout]. */
public fun openAdminClient(timeout: Duration, threads: HttpThreads = HttpThreads.shared): AdminClient =
    NettyAdminClient(timeout, HttpClient(threads))

private class NettyAdminClient(private val timeout: Duration, private val client: HttpClient) : AdminClient {
    override fun status(address: Address): Result<String, Fault> =
        callSuccessfully(address, get(STATUS_PATH)).map { it.body }

    override fun events(address: Address, filter: EventFilter): Result<List<EventRecord>, Fault> =
        callSuccessfully(address, get(eventsTarget(filter))).andThen { parseEvents(address, it) }

    override fun explain(address: Address, request: RequestId): Result<List<EventRecord>, Fault> {
        val name = URLEncoder.encode(request.text, StandardCharsets.UTF_8).replace("+", "%20")
        return callSuccessfully(address, get(EXPLAIN_PREFIX + name)).andThen { parseEvents(address, it) }
    }

    override fun startDrain(address: Address): Result<Unit, Fault> =
        callSuccessfully(address, HttpCall(HttpMethod.POST, DRAIN_PATH)).map { }

    override fun isReady(address: Address): Result<Boolean, Fault> = ask(address, get(READY_PATH)).andThen { answer ->
        when (answer.status) {
            STATUS_OK -> Ok(true)
            STATUS_UNAVAILABLE -> Ok(false)
            else -> Err(rejectedFault(address, answer))
        }
    }

    override fun close(): Unit = client.close()

    private fun get(target: String) = HttpCall(HttpMethod.GET, target)

    private fun callSuccessfully(address: Address, call: HttpCall): Result<HttpAnswer, Fault> =
        ask(address, call).andThen { answer ->
            if (answer.status in SUCCESS_STATUSES) Ok(answer) else Err(rejectedFault(address, answer))
        }

    private fun ask(address: Address, call: HttpCall): Result<HttpAnswer, Fault> {
        val pending = CompletableFuture<HttpResult>()
        client.callWhole(address, call, HttpTimeouts(timeout, timeout)) { pending.complete(it) }
        return when (val result = pending.get()) {
            is HttpResult.Answered -> Ok(result.answer)
            is HttpResult.Failed -> Err(fault(address, result.failure.cause, result.failure.detail))
        }
    }

    private fun parseEvents(address: Address, answer: HttpAnswer): Result<List<EventRecord>, Fault> = try {
        Ok(adminJson.decodeFromString<EventPage>(answer.body).events)
    } catch (malformed: IllegalArgumentException) {
        Err(fault(address, FaultCause.PROTOCOL, malformed.message.orEmpty()))
    }

    private fun rejectedFault(address: Address, answer: HttpAnswer) =
        fault(address, FaultCause.REJECTED, "status ${answer.status}: ${answer.body}")

    private fun fault(address: Address, cause: FaultCause, detail: String) =
        Fault(Step.CONNECT, address.toString(), cause, detail)

    private companion object {
        val SUCCESS_STATUSES = 200..299
    }
}

private fun eventsTarget(filter: EventFilter): String {
    val target = QueryStringEncoder(EVENTS_PATH)
    filter.request?.let { target.addParam("request", it.text) }
    filter.upstream?.let { target.addParam("upstream", it.text) }
    filter.note?.let { target.addParam("note", it.toString()) }
    filter.afterMilliseconds?.let { target.addParam("after", it.toString()) }
    target.addParam("limit", filter.limit.toString())
    return target.toString()
}
