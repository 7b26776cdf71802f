package org.lovageladder.standin

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One host as the list shows it; [state] is `live` or `leaving`, [address] is `ip:port`. */
@Serializable
public data class ListedHost(val name: String, val place: String, val state: String = LIVE, val address: String) {
    public companion object {
        public const val LIVE: String = "live"
        public const val LEAVING: String = "leaving"
    }
}

/** Hosts listed from the start, and how late the list shows changes. */
public data class HostListSettings(val lag: Duration = 1000.milliseconds, val hosts: List<ListedHost> = emptyList())

/**
 * The platform's list of hosts: `GET /v1/hosts` with the header `X-Version`; `POST /v1/hosts` with one host and
 * `DELETE /v1/hosts/NAME` change it. A change is accepted at once and listed after the lag.
 */
public class HostListStandIn private constructor(private val settings: HostListSettings, requestedPort: Int) :
    AutoCloseable {
    private val thread = EventLoopThread()
    private val listed = settings.hosts.associateByTo(LinkedHashMap()) { it.name }
    private var version = 1L
    private val server = HttpServer.start(thread, requestedPort) { route(it) }

    public val port: Int = server.port

    /** Stops the list and closes its connections. */
    override fun close() {
        server.close()
        thread.close()
    }

    private fun route(exchange: HttpExchange) {
        val request = exchange.request
        when {
            request.method == "GET" && request.path == "/health" -> exchange.answer("")
            request.method == "GET" && request.path == PATH -> list(exchange)
            request.method == "POST" && request.path == PATH -> add(exchange)
            request.method == "DELETE" && request.path.startsWith("$PATH/") -> remove(exchange)
            else -> throw RequestRefused.unknownPath(request)
        }
    }

    private fun list(exchange: HttpExchange) {
        exchange.addHeader("X-Version", version.toString())
        exchange.answer(StandInJson.answers.encodeToString(HostList(listed.values.toList())))
    }

    private fun add(exchange: HttpExchange) {
        val host = StandInJson.read<ListedHost>(exchange.request.body, StandInJson.strict)
        requireField(host.name.isNotBlank(), "name", host.name, "a name that is not blank")
        requireField(host.state in STATES, "state", host.state, STATES.joinToString())
        requireField(ADDRESS.matches(host.address), "address", host.address, "ip:port")
        changeAfterLag { listed[host.name] = host }
        exchange.answer("{}")
    }

    private fun remove(exchange: HttpExchange) {
        val name = exchange.request.path.removePrefix("$PATH/")
        changeAfterLag { listed.remove(name) }
        exchange.answer("{}")
    }

    private fun changeAfterLag(change: () -> Unit) {
        thread.after(settings.lag) {
            change()
            version++
        }
    }

    public companion object {
        private const val PATH = "/v1/hosts"
        private val STATES = listOf(ListedHost.LIVE, ListedHost.LEAVING)
        private val ADDRESS = Regex("""[0-9a-fA-F.:\[\]]+:\d{1,5}""")

        /** Starts a host list on loopback at [port], or at a free port when it is 0; throws when the port is taken. */
        public fun start(port: Int = 0, settings: HostListSettings = HostListSettings()): HostListStandIn =
            HostListStandIn(settings, port)
    }
}

@Serializable
private data class HostList(val hosts: List<ListedHost>)
