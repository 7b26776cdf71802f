package org.lovageladder.http

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.lovageladder.core.Address
import org.lovageladder.core.HostList
import org.lovageladder.core.HostName
import org.lovageladder.core.ListedHost
import org.lovageladder.core.PlaceName
import kotlin.time.Duration

/** Opens the platform's host list at [address]. It is read with `GET /v1/hosts`. */
public fun openHttpHostList(address: Address, threads: HttpThreads = HttpThreads.shared): HostList =
    HttpHostList(address, HttpClient(threads))

private class HttpHostList(private val address: Address, private val client: HttpClient) : HostList {
    override fun read(timeout: Duration, listed: (List<ListedHost>?) -> Unit) {
        val timeouts = HttpTimeouts(minOf(timeout, HttpClient.CONNECT_TIMEOUT), timeout)
        client.callWhole(address, HttpCall(HttpMethod.GET, "/v1/hosts"), timeouts) { result ->
            listed((result as? HttpResult.Answered)?.let { parseHosts(it.answer) })
        }
    }

    override fun close(): Unit = client.close()

    private fun parseHosts(answer: HttpAnswer): List<ListedHost>? {
        if (answer.status != STATUS_OK) return null
        return try {
            hostListJson.decodeFromString<HostListAnswer>(answer.body).hosts.map { it.toListedHost() }
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}

private val hostListJson = Json { ignoreUnknownKeys = true }

@Serializable
private data class HostListAnswer(val hosts: List<HostEntry>)

@Serializable
private data class HostEntry(val name: HostName, val place: PlaceName, val state: String) {
    fun toListedHost(): ListedHost = ListedHost(name, place, leaving = state == LEAVING)

    private companion object {
        const val LEAVING = "leaving"
    }
}
