package org.lovageladder.http.forward

import org.lovageladder.core.UpstreamName
import org.lovageladder.core.forward.AnswerHead
import org.lovageladder.core.forward.AnswerOrigin
import org.lovageladder.core.forward.EngineAnswer
import org.lovageladder.core.forward.ForwardRequest
import org.lovageladder.core.forward.HeaderField
import org.lovageladder.core.forward.PrefillResult
import org.lovageladder.core.forward.Reservation
import org.lovageladder.core.forward.UpstreamAttempt
import org.lovageladder.core.forward.UpstreamIncarnation
import org.lovageladder.core.forward.UpstreamNotice
import kotlin.time.Duration

/** Forwards headers unchanged; answers to calls about memory are their body. */
internal object PlainCodec : UpstreamCodec {
    override fun requestHeaders(request: ForwardRequest, attempt: UpstreamAttempt): List<HeaderField> = request.headers

    override fun prefillHeaders(request: ForwardRequest, attempt: UpstreamAttempt): List<HeaderField> = request.headers

    override fun answeredRequest(header: (String) -> String?): String? = header("Id")

    override fun isSigned(fields: List<HeaderField>) = fields.any { it.name == "Signed" }

    override fun parseHead(
        status: Int,
        fields: List<HeaderField>,
        upstream: UpstreamName,
        endsWithConnection: Boolean,
        origin: AnswerOrigin?,
    ) = AnswerHead(
        status,
        fields,
        isDeclined = false,
        isWrongInstance = false,
        load = null,
        endsWithConnection = endsWithConnection,
        origin = origin,
    )

    override fun parseNotice(status: Int, fields: List<HeaderField>): UpstreamNotice? =
        fields.firstOrNull { it.name == "Leaving" }?.let { UpstreamNotice(isLeaving = true) }

    override fun reserveCall(tokens: Int, duration: Duration) = TextCall("POST", "/reserve", "$tokens")

    override fun parseReservation(answer: TextAnswer) = EngineAnswer.Done(Reservation(answer.body))

    override fun releaseCall(reservation: Reservation) = TextCall("DELETE", "/release/${reservation.id}")

    override fun parsePrefillResult(attempt: UpstreamAttempt, answer: TextAnswer) =
        EngineAnswer.Done(PrefillResult(attempt.upstream, answer.body))

    override fun runningCall(healthPath: String?) = TextCall("GET", healthPath ?: "/state")

    override fun runningHeaders(upstream: UpstreamIncarnation): List<HeaderField> = emptyList()

    override fun isRunning(upstream: UpstreamIncarnation, answer: TextAnswer) = answer.body == upstream.name.text

    override fun freeCall(result: PrefillResult) = TextCall("DELETE", "/free/${result.handle}")
}
