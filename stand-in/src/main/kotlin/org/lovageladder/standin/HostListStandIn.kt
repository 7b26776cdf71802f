package org.lovageladder.standin

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One listed host; [state] is `live` or `leaving`, [address] is `ip:port`. */
@Serializable
public data class ListedHost(val name: String, val place: String, val state: String = LIVE, val address: String) {
    public companion object {
        public const val LIVE: String = "live"
        public const val LEAVING: String = "leaving"
    }
}

/** Hosts listed from the start, and the delay before a change is listed. */
public data class HostListSettings(val lag: Duration = 1000.milliseconds, val hosts: List<ListedHost> = emptyList())

/**
 * The platform's list of hosts: `GET /v1/hosts` answers the list and its version in the header `X-Version`;
 * `POST /v1/hosts` adds or replaces one host, and `DELETE /v1/hosts/NAME` removes one. A change is accepted at once
 * and listed after [HostListSettings.lag].
 */
public class HostListStandIn private constructor(private val settings: HostListSettings, requestedPort: Int) :
    AutoCloseable {
    private val thread = EventLoopThread()
    private val hosts = settings.hosts.associateByTo(LinkedHashMap()) { it.name }
    private var version = 1L
    private val server = HttpServer.start(thread, requestedPort) { route(it) }

    public val port: Int = server.port

    /** Stops the server and closes its connections. */
    override fun close() {
        server.close()
        thread.close()
    }

    private fun route(exchange: HttpExchange) {
        val request = exchange.request
        when {
            request.method == "GET" && request.path == "/health" -> exchange.answer("")
            request.method == "GET" && request.path == PATH -> answerList(exchange)
            request.method == "POST" && request.path == PATH -> addHost(exchange)
            request.method == "DELETE" && request.path.startsWith("$PATH/") -> removeHost(exchange)
            else -> throw RequestRefused.unknownPath(request)
        }
    }

    private fun answerList(exchange: HttpExchange) {
        exchange.addHeader("X-Version", version.toString())
        exchange.answer(StandInJson.lenient.encodeToString(HostList(hosts.values.toList())))
    }

    private fun addHost(exchange: HttpExchange) {
        val host = StandInJson.read<ListedHost>(exchange.request.body, StandInJson.strict)
        requireField(host.name.isNotBlank(), "name", host.name, "a name that is not blank")
        requireField(host.state in ALLOWED_STATES, "state", host.state, ALLOWED_STATES.joinToString())
        requireField(ADDRESS_PATTERN.matches(host.address), "address", host.address, "ip:port")
        applyAfterLag { hosts[host.name] = host }
        exchange.answer("{}")
    }

    private fun removeHost(exchange: HttpExchange) {
        val name = exchange.request.path.removePrefix("$PATH/")
        applyAfterLag { hosts.remove(name) }
        exchange.answer("{}")
    }

    private fun applyAfterLag(change: () -> Unit) {
        thread.schedule(settings.lag) {
            change()
            version++
        }
    }

    public companion object {
        private const val PATH = "/v1/hosts"
        private val ALLOWED_STATES = listOf(ListedHost.LIVE, ListedHost.LEAVING)
        private val ADDRESS_PATTERN = Regex("""[0-9a-fA-F.:\[\]]+:\d{1,5}""")

        /** Starts a host list on loopback at [port], or at a free port when it is 0; throws when the port is taken. */
        public fun start(port: Int = 0, settings: HostListSettings = HostListSettings()): HostListStandIn =
            HostListStandIn(settings, port)
    }
}

@Serializable
private data class HostList(val hosts: List<ListedHost>)
