package org.lovageladder.measure

import org.lovageladder.core.Address
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

private const val CLIENT_THREADS = 4
private const val START_DELAY_NANOSECONDS = 100_000_000L
private val DRAIN_TIMEOUT = 60.seconds

/**
 * Sends requests at their scheduled times, whether or not earlier ones were answered, so that a slow answer delays no
 * later request. Latencies are measured from the scheduled time.
 */
internal class LoadDriver(private val workload: Workload, private val destinations: List<Destination>) {
    /** Runs the warm-up and the workload; waits for answers until [DRAIN_TIMEOUT] after the last request of each. */
    fun run(): LoadSummary {
        val executor = Executors.newFixedThreadPool(CLIENT_THREADS)
        try {
            val client = createClient(executor)
            val warmUp = workload.arrivals.take(workload.warmUpRequests)
            sendAll(client, warmUp, firstIndex = workload.arrivals.size)
            return sendAll(client, workload.arrivals, firstIndex = 0)
        } finally {
            executor.shutdownNow()
        }
    }

    private fun sendAll(client: HttpClient, arrivals: List<Duration>, firstIndex: Int): LoadSummary {
        val results = LoadResults(workload)
        val startedAt = System.nanoTime() + START_DELAY_NANOSECONDS
        val exchanges = arrivals.mapIndexed { index, arrival ->
            val scheduledAt = startedAt + arrival.inWholeNanoseconds
            waitUntil(scheduledAt)
            send(client, results, firstIndex + index, scheduledAt)
        }
        awaitAll(exchanges, results)
        return results.summary(System.nanoTime() - startedAt)
    }

    private fun createClient(executor: ExecutorService): HttpClient = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(DRAIN_TIMEOUT.toJavaDuration())
        .executor(executor)
        .build()

    private fun waitUntil(scheduledAt: Long) {
        while (true) {
            val remaining = scheduledAt - System.nanoTime()
            if (remaining <= 0) return
            LockSupport.parkNanos(remaining)
        }
    }

    private fun send(client: HttpClient, results: LoadResults, index: Int, scheduledAt: Long): CompletableFuture<Unit> {
        results.recordStart(System.nanoTime() - scheduledAt)
        val destination = destinations[index % destinations.size]
        val reader = readerFor(index)
        return client.sendAsync(requestTo(destination, index), HttpResponse.BodyHandlers.fromLineSubscriber(reader))
            .handle { response, failure ->
                val result =
                    if (failure == null) reader.resultOf(response) else ExchangeResult.Failed(describeFailure(failure))
                results.recordEnd(scheduledAt, result)
            }
    }

    private fun describeFailure(failure: Throwable): String {
        val cause = failure.cause ?: failure
        return "${cause.javaClass.simpleName}: ${cause.message}"
    }

    private fun awaitAll(exchanges: List<CompletableFuture<Unit>>, results: LoadResults) {
        val deadline = System.nanoTime() + DRAIN_TIMEOUT.inWholeNanoseconds
        for (exchange in exchanges) {
            try {
                exchange.get((deadline - System.nanoTime()).coerceAtLeast(0), TimeUnit.NANOSECONDS)
            } catch (_: TimeoutException) {
                results.recordUnfinished()
            }
        }
    }

    private fun readerFor(index: Int): AnswerReader = when (workload.kind) {
        RequestKind.GENERATION -> TokenStreamReader(expectedTokens(workload.prompt(index), workload.outputTokens))
        RequestKind.LOOKUP -> PlainAnswerReader("\"echo\":${lookupBody(index)}")
    }

    private fun requestTo(destination: Destination, index: Int): HttpRequest {
        val builder = HttpRequest.newBuilder()
            .uri(uri(destination.address, pathOf(destination)))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(bodyOf(index)))
        if (!destination.isDirect) workload.requestClass?.let { builder.header("Lovageladder-Class", it) }
        return builder.build()
    }

    private fun uri(address: Address, path: String): URI = URI.create("http://$address$path")

    private fun pathOf(destination: Destination): String = when (workload.kind) {
        RequestKind.GENERATION -> "/v1/completions"
        RequestKind.LOOKUP -> if (destination.isDirect) "/lookup" else "/services/${workload.service}/lookup"
    }

    private fun bodyOf(index: Int): String = when (workload.kind) {
        RequestKind.GENERATION ->
            """{"model":"${workload.service}","prompt":"${workload.prompt(index)}",""" +
                """"max_tokens":${workload.outputTokens},"stream":true}"""
        RequestKind.LOOKUP -> lookupBody(index)
    }

    private fun lookupBody(index: Int) = """{"request":"${workload.seed}-$index"}"""
}
