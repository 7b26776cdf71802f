package org.lovageladder.standin

import kotlinx.serialization.encodeToString
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulates a language-model engine: batching, memory use, prefill and the transfer of prefill results take the time
 * that the settings give them. Output tokens depend only on the prompt.
 *
 * A call that is refused for memory, role or an expired prefill result gets a JSON error whose `type` is
 * `out_of_memory`, `wrong_role`, `kv_expired` or `kv_unreachable`.
 *
 * It serves OpenAI-compatible completions with vLLM's additions (`kv_transfer_params`, `priority`, adapter load and
 * unload, Prometheus names). Functions without a published protocol use plain JSON: `GET /v1/running`,
 * `POST /v1/cancel`, `POST /v1/role`, `POST /v1/load_model`, `GET /v1/cache_events?after=SEQUENCE`, `POST /fault` and
 * `GET /stats`.
 */
public class EngineStandIn private constructor(
    private val settings: EngineSettings,
    requestedPort: Int,
    private val onCrash: () -> Unit,
) : AutoCloseable {
    private val thread = EventLoopThread()
    private val slowness = Slowness(thread)
    private val link = SharedLink(thread, settings.linkBytesPerSecond)
    private val prefillResults = PrefillResults(thread, settings.keepTime, link, settings.keyValueBytesPerToken)
    private val cacheEvents = CacheEventLog(thread, settings.cacheEventLag, settings.cacheEventGapEvery)
    private val prefixCache = PrefixCache(settings.prefixCacheBlocks, settings.prefixBlockTokens, cacheEvents)
    private val scheduler =
        EngineScheduler(thread, settings, slowness, prefillResults, prefixCache) { ownTransferParameters() }
    private val loadReport = LoadReport(thread, settings.reportLag) { scheduler.currentLoad() }
    private val models = ServedModels(settings.model, settings.name)
    private val fencing = FencingCheck(settings.ignoreFencing)
    private val engineId = "${settings.name}-${UUID.randomUUID()}"
    private var role = settings.role
    private val server = HttpServer.start(thread, requestedPort) { route(it) }

    public val port: Int = server.port

    /** Stops the engine and closes its connections without finishing running calls. */
    override fun close() {
        server.close()
        thread.close()
    }

    private fun route(exchange: HttpExchange) {
        val request = exchange.request
        val api = CompletionApi.forPath(request.path)
        when {
            api != null && request.method == "POST" -> handleCompletion(exchange, api)
            request.method == "POST" -> handlePost(exchange)
            else -> handleGet(exchange)
        }
    }

    private fun handleCompletion(exchange: HttpExchange, api: CompletionApi) {
        val requestId = exchange.request.header(CompletionRequest.REQUEST_ID_HEADER) ?: "cmpl-${UUID.randomUUID()}"
        exchange.addHeader(CompletionRequest.REQUEST_ID_HEADER, requestId)
        val request = CompletionRequest.parse(exchange.request, api, requestId)
        models.requireServed(request.model)
        scheduler.accept(request, exchange, role)
    }

    private fun handleGet(exchange: HttpExchange) {
        val json = StandInJson.lenient
        when (exchange.request.path) {
            "/health" -> exchange.answer("")
            "/v1/models" -> exchange.answer(json.encodeToString(models.list()))
            "/v1/running" -> exchange.answer(json.encodeToString(scheduler.runningCalls()))
            "/v1/cache_events" -> exchange.answer(json.encodeToString(cacheEvents.after(parseAfter(exchange.request))))
            "/stats" -> exchange.answer(json.encodeToString(scheduler.stats()))
            "/metrics" -> exchange.answer(loadReport.prometheusText(models.names.first()), contentType = METRICS_TYPE)
            else -> throw RequestRefused.unknownPath(exchange.request)
        }
    }

    private fun parseAfter(request: HttpRequest): Long {
        val value = request.query["after"]?.firstOrNull() ?: return 0
        return value.toLongOrNull()
            ?: throw RequestRefused.invalidField("after", "parameter after is '$value', allowed is a whole number")
    }

    private fun handlePost(exchange: HttpExchange) {
        when (exchange.request.path) {
            PrefillFetch.PATH -> sendPrefillResult(exchange)
            "/v1/cancel" -> cancel(exchange)
            "/v1/load_lora_adapter" -> loadAdapter(exchange)
            "/v1/unload_lora_adapter" -> unloadAdapter(exchange)
            "/v1/load_model" -> loadModel(exchange)
            "/v1/role" -> changeRole(exchange)
            "/fault" -> injectFault(exchange)
            else -> throw RequestRefused.unknownPath(exchange.request)
        }
    }

    private fun sendPrefillResult(exchange: HttpExchange) {
        val requested = readBody<FetchBody>(exchange)
        if (requested.engineId != null && requested.engineId != engineId) {
            throw PrefillResults.expiredAnswer(requested.requestId)
        }
        prefillResults.fetch(requested.requestId, exchange)
    }

    private fun cancel(exchange: HttpExchange) {
        fencing.check(FencingCheck.parseHeader(exchange.request))
        val cancelled = scheduler.cancel(readBody<CancelOrder>(exchange).requestId)
        exchange.answer(StandInJson.lenient.encodeToString(CancelAnswer(cancelled)))
    }

    private fun loadAdapter(exchange: HttpExchange) {
        val order = readBody<AdapterLoadOrder>(exchange)
        fencing.check(FencingCheck.parseHeader(exchange.request))
        models.loadAdapter(order)
        exchange.answer("Success: LoRA adapter '${order.name}' added successfully.", contentType = TEXT_TYPE)
    }

    private fun unloadAdapter(exchange: HttpExchange) {
        val order = readBody<AdapterUnloadOrder>(exchange)
        fencing.check(FencingCheck.parseHeader(exchange.request))
        models.unloadAdapter(order)
        exchange.answer("Success: LoRA adapter '${order.name}' removed successfully.", contentType = TEXT_TYPE)
    }

    private fun loadModel(exchange: HttpExchange) {
        val order = readBody<ModelLoadOrder>(exchange)
        fencing.check(order.fencing ?: FencingCheck.parseHeader(exchange.request))
        models.loadModel(order)
        answerOrder(exchange)
    }

    private fun changeRole(exchange: HttpExchange) {
        val order = readBody<RoleOrder>(exchange)
        val requested = EngineRole.entries.find { it.wireName == order.role }
        requireField(requested != null, "role", order.role, EngineRole.entries.joinToString { it.wireName })
        fencing.check(order.fencing ?: FencingCheck.parseHeader(exchange.request))
        role = requested ?: role
        answerOrder(exchange)
    }

    private fun answerOrder(exchange: HttpExchange) {
        val answer = OrderAnswer(settings.name, role.wireName, models.names)
        exchange.answer(StandInJson.lenient.encodeToString(answer))
    }

    private fun injectFault(exchange: HttpExchange) {
        val fault = StandInJson.read<EngineFault>(exchange.request.body, StandInJson.strict)
        SlownessFault(fault.slowFactor, fault.forMilliseconds, fault.stallMilliseconds).applyTo(slowness)
        fault.transferStallMilliseconds?.let { stall ->
            requireField(stall >= 0, "transfer_stall_ms", stall, "0 or more")
            link.stall(stall.milliseconds)
        }
        exchange.answer("{}")
        if (fault.crash) {
            thread.scheduleCrash { crash() }
        }
    }

    private fun crash() {
        onCrash()
        close()
    }

    private fun ownTransferParameters() = TransferParameters(
        remoteDecode = false,
        remotePrefill = true,
        engineId = engineId,
        host = LOOPBACK,
        port = port,
    )

    private inline fun <reified Body> readBody(exchange: HttpExchange): Body = StandInJson.read(exchange.request.body)

    public companion object {
        private const val LOOPBACK = "127.0.0.1"
        private const val TEXT_TYPE = "text/plain"
        private const val METRICS_TYPE = "text/plain; version=0.0.4"

        /**
         * Starts an engine on loopback at [port], or at a free port when it is 0; throws when the port is taken.
         * [onCrash] runs when the fault `crash` is injected, before the engine closes its connections abruptly.
         */
        public fun start(
            port: Int = 0,
            settings: EngineSettings = EngineSettings(),
            onCrash: () -> Unit = {},
        ): EngineStandIn = EngineStandIn(settings, port, onCrash)
    }
}
