package org.lovageladder.standin

import kotlinx.serialization.encodeToString
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds

/**
 * A language-model engine without a model: it batches, holds memory, prefills and passes prefill results on as a real
 * one would, and answers with tokens that follow from the prompt alone.
 *
 * A call that is refused for memory, role or an expired prefill result gets a JSON error whose `type` is
 * `out_of_memory`, `wrong_role`, `kv_expired` or `kv_unreachable`.
 *
 * It serves the OpenAI-compatible completions with vLLM's additions (`kv_transfer_params`, `priority`, adapter load
 * and unload, Prometheus names), and plain JSON for what has no published form: `GET /v1/running`, `POST /v1/cancel`,
 * `POST /v1/role`, `POST /v1/load_model`, `GET /v1/cache_events?after=SEQUENCE`, `POST /fault` and `GET /stats`.
 */
public class EngineStandIn private constructor(
    private val settings: EngineSettings,
    requestedPort: Int,
    private val onCrash: () -> Unit,
) : AutoCloseable {
    private val thread = EventLoopThread()
    private val slowness = Slowness(thread)
    private val link = SharedLink(thread, settings.linkBytesPerSecond)
    private val kept = KeptPrefills(thread, settings.keepTime, link, settings.keyValueBytesPerToken)
    private val cacheEvents = CacheEvents(thread, settings.cacheEventLag, settings.cacheEventGapEvery)
    private val prefixes = PrefixCache(settings.prefixCacheBlocks, settings.prefixBlockTokens, cacheEvents)
    private val calls = EngineCalls(thread, settings, slowness, kept, prefixes) { ownAddress() }
    private val report = LoadReport(thread, settings.reportLag) { calls.load() }
    private val models = ServedModels(settings.model, settings.name)
    private val fencing = FencingGate(settings.ignoreFencing)
    private val engineId = "${settings.name}-${UUID.randomUUID()}"
    private var role = settings.role
    private val server = HttpServer.start(thread, requestedPort) { route(it) }

    public val port: Int = server.port

    /** Stops the engine and closes its connections without finishing what runs. */
    override fun close() {
        server.close()
        thread.close()
    }

    private fun route(exchange: HttpExchange) {
        val request = exchange.request
        val shape = CompletionShape.at(request.path)
        when {
            shape != null && request.method == "POST" -> complete(exchange, shape)
            request.method == "POST" -> order(exchange)
            else -> read(exchange)
        }
    }

    private fun complete(exchange: HttpExchange, shape: CompletionShape) {
        val requestId = exchange.request.header(CompletionRequest.REQUEST_ID_HEADER) ?: "cmpl-${UUID.randomUUID()}"
        exchange.addHeader(CompletionRequest.REQUEST_ID_HEADER, requestId)
        val request = CompletionRequest.read(exchange.request, shape, requestId)
        models.check(request.model)
        calls.accept(request, exchange, role)
    }

    private fun read(exchange: HttpExchange) {
        val json = StandInJson.answers
        when (exchange.request.path) {
            "/health" -> exchange.answer("")
            "/v1/models" -> exchange.answer(json.encodeToString(models.list()))
            "/v1/running" -> exchange.answer(json.encodeToString(calls.running()))
            "/v1/cache_events" -> exchange.answer(json.encodeToString(cacheEvents.after(sequenceIn(exchange.request))))
            "/stats" -> exchange.answer(json.encodeToString(calls.stats()))
            "/metrics" -> exchange.answer(report.prometheusText(models.names.first()), contentType = PROMETHEUS_TYPE)
            else -> throw RequestRefused.unknownPath(exchange.request)
        }
    }

    private fun sequenceIn(request: HttpRequest): Long {
        val value = request.query["after"]?.firstOrNull() ?: return 0
        return value.toLongOrNull()
            ?: throw RequestRefused.badField("after", "parameter after is '$value', allowed is a whole number")
    }

    private fun order(exchange: HttpExchange) {
        when (exchange.request.path) {
            PrefillFetch.PATH -> sendPrefill(exchange)
            "/v1/cancel" -> cancel(exchange)
            "/v1/load_lora_adapter" -> loadAdapter(exchange)
            "/v1/unload_lora_adapter" -> unloadAdapter(exchange)
            "/v1/load_model" -> loadModel(exchange)
            "/v1/role" -> changeRole(exchange)
            "/fault" -> injectFault(exchange)
            else -> throw RequestRefused.unknownPath(exchange.request)
        }
    }

    private fun sendPrefill(exchange: HttpExchange) {
        val wanted = body<FetchBody>(exchange)
        if (wanted.engineId != null && wanted.engineId != engineId) {
            throw KeptPrefills.expired(wanted.requestId)
        }
        kept.fetch(wanted.requestId, exchange)
    }

    private fun cancel(exchange: HttpExchange) {
        fencing.check(FencingGate.numberIn(exchange.request))
        val cancelled = calls.cancel(body<CancelOrder>(exchange).requestId)
        exchange.answer(StandInJson.answers.encodeToString(CancelAnswer(cancelled)))
    }

    private fun loadAdapter(exchange: HttpExchange) {
        val order = body<AdapterLoadOrder>(exchange)
        fencing.check(FencingGate.numberIn(exchange.request))
        models.loadAdapter(order)
        exchange.answer("Success: LoRA adapter '${order.name}' added successfully.", contentType = TEXT_TYPE)
    }

    private fun unloadAdapter(exchange: HttpExchange) {
        val order = body<AdapterUnloadOrder>(exchange)
        fencing.check(FencingGate.numberIn(exchange.request))
        models.unloadAdapter(order)
        exchange.answer("Success: LoRA adapter '${order.name}' removed successfully.", contentType = TEXT_TYPE)
    }

    private fun loadModel(exchange: HttpExchange) {
        val order = body<ModelLoadOrder>(exchange)
        fencing.check(order.fencing ?: FencingGate.numberIn(exchange.request))
        models.loadModel(order)
        answerDuties(exchange)
    }

    private fun changeRole(exchange: HttpExchange) {
        val order = body<RoleOrder>(exchange)
        val wanted = EngineRole.entries.find { it.word == order.role }
        requireField(wanted != null, "role", order.role, EngineRole.entries.joinToString { it.word })
        fencing.check(order.fencing ?: FencingGate.numberIn(exchange.request))
        role = wanted ?: role
        answerDuties(exchange)
    }

    private fun answerDuties(exchange: HttpExchange) {
        val duties = EngineDuties(settings.name, role.word, models.names)
        exchange.answer(StandInJson.answers.encodeToString(duties))
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
            thread.crashSoon { crash() }
        }
    }

    private fun crash() {
        onCrash()
        close()
    }

    private fun ownAddress() = TransferParameters(
        remoteDecode = false,
        remotePrefill = true,
        engineId = engineId,
        host = LOOPBACK,
        port = port,
    )

    private inline fun <reified Body> body(exchange: HttpExchange): Body = StandInJson.read(exchange.request.body)

    public companion object {
        private const val LOOPBACK = "127.0.0.1"
        private const val TEXT_TYPE = "text/plain"
        private const val PROMETHEUS_TYPE = "text/plain; version=0.0.4"

        /**
         * Starts an engine on loopback at [port], or at a free port when it is 0; throws when the port is taken.
         * [onCrash] is called for the injected fault `crash`, before the engine closes itself abruptly.
         */
        public fun start(
            port: Int = 0,
            settings: EngineSettings = EngineSettings(),
            onCrash: () -> Unit = {},
        ): EngineStandIn = EngineStandIn(settings, port, onCrash)
    }
}
