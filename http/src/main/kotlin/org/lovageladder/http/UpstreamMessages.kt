package org.lovageladder.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.lovageladder.core.AttemptId
import org.lovageladder.core.Execution
import org.lovageladder.core.Fault
import org.lovageladder.core.FaultCause
import org.lovageladder.core.PlainAnswer
import org.lovageladder.core.PoolRole
import org.lovageladder.core.Step
import org.lovageladder.core.TransferTicket
import org.lovageladder.core.UpstreamCall
import org.lovageladder.core.UpstreamOrder
import org.lovageladder.core.UpstreamReport
import kotlin.time.Duration.Companion.milliseconds

/*
 * Requests of plain calls and orders, and the parsing of answers to prefills, plain calls and orders.
 */

private const val FENCING_HEADER = "X-Fencing-Number"

/** Header that names an attempt. Upstreams may repeat it in their answer. */
internal const val ATTEMPT_HEADER: String = "X-Request-Id"
private const val KEEP_MEMBER = "keep_ms"
private const val BYTES_MEMBER = "bytes"
private const val DEFAULT_KEEP_MILLISECONDS = 800L

internal fun prefillReport(peer: String, result: HttpResult): UpstreamReport = when (result) {
    is HttpResult.Failed -> callFailure(Step.PREFILL, peer, result.failure)
    is HttpResult.Answered ->
        if (result.answer.status == STATUS_OK) {
            parsePrefill(peer, result.answer)
        } else {
            engineFailure(Step.PREFILL, peer, result.answer)
        }
}

private fun parsePrefill(peer: String, answer: HttpAnswer): UpstreamReport = try {
    val transfer = engineJson.decodeFromString<PrefillAnswer>(answer.body).transfer
    requireNotNull(transfer) { "member $TRANSFER_MEMBER is missing" }
    UpstreamReport.PrefillReady(transferTicket(transfer))
} catch (malformed: IllegalArgumentException) {
    val fault = Fault(Step.PREFILL, peer, FaultCause.PROTOCOL, malformed.message.orEmpty())
    UpstreamReport.Failed(fault, Execution.RAN)
}

private fun transferTicket(transfer: JsonObject): TransferTicket = TransferTicket(
    parametersJson = transfer.toString(),
    bytes = longMember(transfer, BYTES_MEMBER) ?: 0,
    keepFor = (longMember(transfer, KEEP_MEMBER) ?: DEFAULT_KEEP_MILLISECONDS).milliseconds,
)

private fun longMember(members: JsonObject, name: String): Long? = (members[name] as? JsonPrimitive)?.longOrNull

internal fun plainCall(attempt: AttemptId, call: UpstreamCall.Plain): HttpCall = HttpCall(
    method = HttpMethod.valueOf(call.content.method),
    path = call.content.path,
    body = call.content.body.encodeToByteArray(),
    contentType = call.content.contentType,
    fields = listOfNotNull(
        HttpField(ATTEMPT_HEADER, attempt.toString()),
        call.idempotencyKey?.let { HttpField("Idempotency-Key", it.text) },
        call.fencing?.let { HttpField(FENCING_HEADER, it.toString()) },
    ),
)

internal fun plainReport(peer: String, result: HttpResult): UpstreamReport = when (result) {
    is HttpResult.Failed -> callFailure(Step.PLAIN_CALL, peer, result.failure)
    is HttpResult.Answered -> serviceFailure(peer, result.answer) ?: UpstreamReport.Answered(
        PlainAnswer(
            status = result.answer.status,
            contentType = result.answer.headers.get(HttpHeaderNames.CONTENT_TYPE),
            body = result.answer.body,
        ),
    )
}

internal fun orderCall(order: UpstreamOrder, fencing: Long): HttpCall {
    val fields = listOf(HttpField(FENCING_HEADER, fencing.toString()))
    return when (order) {
        is UpstreamOrder.LoadAdapter -> {
            val body = LoadAdapterBody(order.adapter.text, path = order.adapter.text)
            jsonPost("/v1/load_lora_adapter", engineJson.encodeToString(body), fields)
        }
        is UpstreamOrder.UnloadAdapter -> {
            val body = UnloadAdapterBody(order.adapter.text)
            jsonPost("/v1/unload_lora_adapter", engineJson.encodeToString(body), fields)
        }
        is UpstreamOrder.ChangeRole -> {
            val body = RoleBody(roleName(order.role), fencing)
            jsonPost("/v1/role", engineJson.encodeToString(body), fields)
        }
    }
}

/** Fault of an order; null when it was carried out or was already in effect. */
internal fun orderFault(peer: String, order: UpstreamOrder, result: HttpResult): Fault? = when (result) {
    is HttpResult.Failed -> Fault(Step.ORDER, peer, result.failure.cause, result.failure.detail)
    is HttpResult.Answered -> when {
        result.answer.status == STATUS_OK || wasAlreadyInEffect(order, result.answer) -> null
        isFenced(result.answer) -> Fault(Step.ORDER, peer, FaultCause.FENCED, failureDetail(result.answer))
        else -> Fault(Step.ORDER, peer, FaultCause.REJECTED, failureDetail(result.answer))
    }
}

private fun wasAlreadyInEffect(order: UpstreamOrder, answer: HttpAnswer): Boolean = when (order) {
    is UpstreamOrder.LoadAdapter ->
        answer.status == STATUS_BAD_REQUEST && failureDetail(answer).contains("already been loaded")
    is UpstreamOrder.UnloadAdapter -> answer.status == STATUS_NOT_FOUND
    is UpstreamOrder.ChangeRole -> false
}

private fun roleName(role: PoolRole): String = when (role) {
    PoolRole.PREFILL -> "prefill"
    PoolRole.DECODE -> "decode"
    PoolRole.PLAIN -> "plain"
}
