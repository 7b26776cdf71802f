package org.lovageladder.standin

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.BufferedReader
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.CompletableFuture
import kotlin.test.fail
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** HTTP client of one stand-in on loopback. */
internal class TestClient(private val port: Int) {
    fun get(path: String): HttpResponse<String> = client.send(request(path).GET().build(), BodyHandlers.ofString())

    fun json(path: String): JsonObject = get(path).json()

    fun post(path: String, body: String, vararg headers: String): HttpResponse<String> =
        postAsync(path, body, *headers).get()

    fun postAsync(path: String, body: String, vararg headers: String): CompletableFuture<HttpResponse<String>> {
        val request = request(path, *headers).POST(BodyPublishers.ofString(body)).build()
        return client.sendAsync(request, BodyHandlers.ofString())
    }

    /** Posts and returns a reader of the answer as it arrives; closing the reader closes the connection. */
    fun openStream(path: String, body: String, vararg headers: String): BufferedReader {
        val request = request(path, *headers).POST(BodyPublishers.ofString(body)).build()
        return client.send(request, BodyHandlers.ofInputStream()).body().bufferedReader()
    }

    fun delete(path: String): HttpResponse<String> =
        client.send(request(path).DELETE().build(), BodyHandlers.ofString())

    private fun request(path: String, vararg headers: String) =
        java.net.http.HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).apply {
            if (headers.isNotEmpty()) headers(*headers)
        }

    private companion object {
        val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    }
}

/** Runs [check] with a client of an engine stand-in. */
internal fun withEngine(settings: EngineSettings, check: (TestClient) -> Unit): Unit =
    EngineStandIn.start(settings = settings).use { check(TestClient(it.port)) }

/** Runs [check] with a client of a plain stand-in. */
internal fun withPlain(settings: PlainSettings = PlainSettings(), check: (TestClient) -> Unit): Unit =
    PlainStandIn.start(settings = settings).use { check(TestClient(it.port)) }

internal fun HttpResponse<String>.json(): JsonObject = Json.parseToJsonElement(body()).jsonObject

/** The element at [path], which consists of field names and list indexes; fails when there is none. */
internal fun JsonElement.at(vararg path: String): JsonElement = path.fold(this) { element, step ->
    val index = step.toIntOrNull()
    val found = if (index == null) element.jsonObject[step] else element.jsonArray.getOrNull(index)
    found ?: fail("no $step in $element")
}

internal fun JsonElement.text(vararg path: String): String = at(*path).jsonPrimitive.content

/** Polls [probe] until it returns a value; fails after 20 seconds. */
internal fun <Value : Any> awaitValue(probe: () -> Value?): Value {
    val start = TimeSource.Monotonic.markNow()
    while (start.elapsedNow() < 20.seconds) {
        probe()?.let { return it }
    }
    fail("the condition was not met within 20 seconds")
}

internal fun awaitTrue(probe: () -> Boolean) {
    awaitValue { true.takeIf { probe() } }
}
