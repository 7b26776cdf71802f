package org.lovageladder.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal data class RunningCalls(
    val running: List<RunningCall>,
    @SerialName("pieces_total") val totalPieces: Int,
    @SerialName("pieces_held") val heldPieces: Int,
)

@Serializable
internal data class RunningCall(@SerialName("request_id") val requestId: String, val pieces: Int, val produced: Int)

@Serializable
internal data class CancelOrder(@SerialName("request_id") val requestId: String)

@Serializable
internal data class CancelAnswer(val cancelled: Boolean)

/** Counters since the engine started, and its current calls and memory. */
@Serializable
internal data class EngineStats(
    @SerialName("prefill_tokens_total") val prefillTokens: Long,
    @SerialName("decode_tokens_total") val decodeTokens: Long,
    @SerialName("prefills_expired") val prefillsExpired: Long,
    @SerialName("prefill_tokens_expired") val prefillTokensExpired: Long,
    @SerialName("prefix_tokens_cached") val cachedTokens: Long,
    val cancelled: Long,
    val rejected: Long,
    val completed: Long,
    @SerialName("pieces_held") val heldPieces: Int,
    val running: Int,
)

@Serializable
internal data class AdapterLoadOrder(
    @SerialName("lora_name") val name: String,
    @SerialName("lora_path") val path: String,
)

@Serializable
internal data class AdapterUnloadOrder(@SerialName("lora_name") val name: String)

@Serializable
internal data class ModelLoadOrder(val model: String, val version: String, val fencing: Long? = null)

@Serializable
internal data class RoleOrder(val role: String, val fencing: Long? = null)

/** Answer to an order: the engine's role and models once the order is applied. */
@Serializable
internal data class OrderAnswer(val name: String, val role: String, val models: List<String>)

@Serializable
internal data class ModelList(val data: List<ModelCard>, @SerialName("object") val objectName: String = "list")

@Serializable
internal data class ModelCard(
    val id: String,
    val root: String,
    val parent: String? = null,
    @SerialName("object") val objectName: String = "model",
)

/** Faults to inject into an engine; the fields are independent and may be combined. */
@Serializable
internal data class EngineFault(
    @SerialName("slow_factor") val slowFactor: Double? = null,
    @SerialName("for_ms") val forMilliseconds: Long? = null,
    @SerialName("stall_ms") val stallMilliseconds: Long? = null,
    @SerialName("transfer_stall_ms") val transferStallMilliseconds: Long? = null,
    val crash: Boolean = false,
)
