package org.lovageladder.http

import org.lovageladder.core.Address
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers

private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

/** Sends a `POST` with the JDK's HTTP client, which is not under test. */
internal fun postJson(address: Address, path: String, body: String): CallerAnswer =
    send(address, path) { POST(HttpRequest.BodyPublishers.ofString(body)) }

internal fun get(address: Address, path: String): CallerAnswer = send(address, path) { GET() }

private fun send(address: Address, path: String, method: HttpRequest.Builder.() -> HttpRequest.Builder): CallerAnswer {
    val request = HttpRequest.newBuilder(URI("http://$address$path")).method().build()
    val response = client.send(request, BodyHandlers.ofString())
    return CallerAnswer(response.statusCode(), emptyMap(), response.body())
}

internal fun delete(address: Address, path: String): CallerAnswer = send(address, path) { DELETE() }
