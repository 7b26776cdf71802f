package org.lovageladder.measure

import org.lovageladder.core.AttemptId
import org.lovageladder.core.PeerMessage
import org.lovageladder.core.PlainAnswer
import org.lovageladder.core.TransferTicket
import org.lovageladder.core.UpstreamLoad
import org.lovageladder.core.UpstreamName
import kotlin.time.Duration.Companion.milliseconds

/** Answers for companions that grant every reservation and whose generations have [outputTokens] tokens. */
internal class FakeCompanion(private val outputTokens: Int) {
    private val upstreams = HashMap<AttemptId, UpstreamName>()

    fun answersTo(message: PeerMessage): List<PeerMessage> = when (message) {
        is PeerMessage.Heartbeat -> listOf(PeerMessage.Loads(message.sequence, emptyList()))
        is PeerMessage.Reserve -> {
            upstreams[message.attempt] = message.upstream
            listOf(PeerMessage.Granted(message.attempt, message.holdAtMost, loadOf(message.upstream)))
        }
        is PeerMessage.StartPrefill ->
            listOf(PeerMessage.PrefillReady(message.attempt, TRANSFER_TICKET, loadOf(message.upstream)))
        is PeerMessage.StartDecode -> generationMessages(message.attempt)
        is PeerMessage.StartPlain ->
            listOf(PeerMessage.PlainFinished(message.attempt, PLAIN_ANSWER, loadOf(message.upstream)))
        else -> emptyList()
    }

    private fun generationMessages(attempt: AttemptId): List<PeerMessage> {
        val upstream = upstreams.remove(attempt) ?: return emptyList()
        val tokens = List(outputTokens) { PeerMessage.TokenProduced(attempt, it, "w$it-0a1b2c ") }
        return tokens + PeerMessage.DecodeFinished(attempt, outputTokens, "length", loadOf(upstream))
    }

    private fun loadOf(upstream: UpstreamName) =
        UpstreamLoad(upstream, Fleet.DECODE_PIECES, Fleet.DECODE_PIECES - 1, running = 1, waiting = 0)

    private companion object {
        val PLAIN_ANSWER = PlainAnswer(
            status = 200,
            contentType = "application/json",
            body = """{"week":3,"room":"a-12"}""",
        )
        val TRANSFER_TICKET = TransferTicket(
            parametersJson = """{"do_remote_prefill":true,"remote_engine_id":"upstream-0","remote_block_ids":[1,2]}""",
            bytes = 2_000_000,
            keepFor = 800.milliseconds,
        )
    }
}
