package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Name, speed and limits of a [PlainStandIn]; [ignoreFencing] executes calls with outdated fencing numbers. */
public data class PlainSettings(
    val name: String = "plain",
    val latency: Duration = 2.milliseconds,
    val maximumRunning: Int = 64,
    val ignoreFencing: Boolean = false,
)

/**
 * A plain service: it executes a call to any path after the configured latency, and counts executions per
 * `Idempotency-Key` so that a test can detect a call that ran twice.
 *
 * A call above the concurrency limit or with an outdated fencing number is refused with [NOT_EXECUTED_HEADER].
 *
 * Reserved paths: `GET /executions`, `GET /health`, `POST /fault`.
 */
public class PlainStandIn private constructor(
    private val settings: PlainSettings,
    requestedPort: Int,
    private val onCrash: () -> Unit,
) : AutoCloseable {
    private val thread = EventLoopThread()
    private val slowness = Slowness(thread)
    private val fencing = FencingCheck(settings.ignoreFencing)
    private val executions = LinkedHashMap<String, Long>()
    private var totalExecutions = 0L
    private var running = 0
    private var answersToDrop = 0
    private val server = HttpServer.start(thread, requestedPort) { route(it) }

    public val port: Int = server.port

    /** Stops the service and closes its connections without answering running calls. */
    override fun close() {
        server.close()
        thread.close()
    }

    private fun route(exchange: HttpExchange) {
        val call = exchange.request.method + " " + exchange.request.path
        when (call) {
            "GET /health" -> exchange.answer("")
            "GET /executions" -> exchange.answer(encode(Executions(executions, totalExecutions, running)))
            "POST /fault" -> injectFault(exchange)
            else -> execute(exchange)
        }
    }

    private fun execute(exchange: HttpExchange) {
        try {
            checkAccepted(exchange.request)
        } catch (refused: RequestRefused) {
            exchange.addHeader(NOT_EXECUTED_HEADER, "true")
            exchange.refuse(refused)
            return
        }
        running++
        val duration = settings.latency * slowness.currentFactor()
        thread.schedule(slowness.remainingStall() + duration) { finish(exchange) }
    }

    private fun checkAccepted(request: HttpRequest) {
        fencing.check(FencingCheck.parseHeader(request))
        if (running >= settings.maximumRunning) {
            val reason = "$running of ${settings.maximumRunning} calls are running"
            throw RequestRefused(RequestRefused.UNAVAILABLE, "overloaded", reason)
        }
    }

    private fun finish(exchange: HttpExchange) {
        val stall = slowness.remainingStall()
        if (stall.isPositive()) {
            thread.schedule(stall) { finish(exchange) }
            return
        }
        running--
        totalExecutions++
        val key = exchange.request.header("Idempotency-Key")
        val execution = if (key == null) totalExecutions else executions.merge(key, 1L, Long::plus) ?: 1L
        if (answersToDrop > 0) {
            answersToDrop--
            exchange.abort()
            return
        }
        exchange.answer(encode(PlainAnswer(settings.name, key, echo(exchange.request.body), execution)))
    }

    private fun injectFault(exchange: HttpExchange) {
        val fault = StandInJson.read<PlainFault>(exchange.request.body, StandInJson.strict)
        requireField(fault.dropAnswers >= 0, "drop_answers", fault.dropAnswers, "0 or more")
        SlownessFault(fault.slowFactor, fault.forMilliseconds, fault.stallMilliseconds).applyTo(slowness)
        answersToDrop += fault.dropAnswers
        exchange.answer("{}")
        if (fault.crash) {
            thread.scheduleCrash { crash() }
        }
    }

    private fun crash() {
        onCrash()
        close()
    }

    private fun echo(body: String): JsonElement = try {
        Json.parseToJsonElement(body)
    } catch (_: SerializationException) {
        JsonPrimitive(body)
    }

    private inline fun <reified Body> encode(body: Body): String = StandInJson.lenient.encodeToString(body)

    public companion object {
        /** Header whose value `true` in a refusal says that the call was not executed. */
        public const val NOT_EXECUTED_HEADER: String = "X-Not-Executed"

        /**
         * Starts a service on loopback at [port], or at a free port when it is 0; throws when the port is taken.
         * [onCrash] runs when the fault `crash` is injected, before the service closes its connections abruptly.
         */
        public fun start(
            port: Int = 0,
            settings: PlainSettings = PlainSettings(),
            onCrash: () -> Unit = {},
        ): PlainStandIn = PlainStandIn(settings, port, onCrash)
    }
}

/** Answer to an executed call; [execution] counts the executions with its [key], or all executions without a key. */
@Serializable
private data class PlainAnswer(val service: String, val key: String?, val echo: JsonElement, val execution: Long)

@Serializable
private data class Executions(val executions: Map<String, Long>, val total: Long, val running: Int)

/** Faults to inject into a plain service; `drop_answers` executes the next that many calls without answering them. */
@Serializable
private data class PlainFault(
    @SerialName("slow_factor") val slowFactor: Double? = null,
    @SerialName("for_ms") val forMilliseconds: Long? = null,
    @SerialName("stall_ms") val stallMilliseconds: Long? = null,
    @SerialName("drop_answers") val dropAnswers: Int = 0,
    val crash: Boolean = false,
)
