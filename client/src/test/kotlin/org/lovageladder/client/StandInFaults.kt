package org.lovageladder.client

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.assertEquals

private val httpClient: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

/** Injects [fault] into the stand-in at [port]. */
internal fun injectFault(port: Int, fault: String) {
    val body = HttpRequest.BodyPublishers.ofString(fault)
    val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/fault")).POST(body).build()
    assertEquals(200, httpClient.send(request, HttpResponse.BodyHandlers.ofString()).statusCode())
}
